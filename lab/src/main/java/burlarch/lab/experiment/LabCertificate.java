package burlarch.lab.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyStore;
import java.util.Base64;

/**
 * A certificate that signs itself, good for a day and for loopback, made by the JDK's own {@code keytool}:
 * for an experiment whose clients come over TLS. Its key is worth nothing outside of its folder.
 */
record LabCertificate(Path certificate, Path key) {
    private static final String WORD = "only-for-a-lab";

    /** @throws IOException with what keytool said */
    static LabCertificate make(Path folder) throws IOException, InterruptedException {
        Path store = folder.resolve("lab.p12");
        Files.deleteIfExists(store);
        JdkTool.run(
                "keytool",
                "-genkeypair",
                "-alias",
                "lab",
                "-keyalg",
                "EC",
                "-groupname",
                "secp256r1",
                "-dname",
                "CN=burlarch-lab",
                "-ext",
                "san=ip:127.0.0.1,ip:::1",
                "-ext",
                "bc:c=ca:true",
                "-validity",
                "1",
                "-storetype",
                "PKCS12",
                "-keystore",
                store.toString(),
                "-storepass",
                WORD);
        try (InputStream in = Files.newInputStream(store)) {
            KeyStore keys = KeyStore.getInstance("PKCS12");
            keys.load(in, WORD.toCharArray());
            Key key = keys.getKey("lab", WORD.toCharArray());
            return new LabCertificate(
                    pem(
                            folder.resolve("lab-cert.pem"),
                            "CERTIFICATE",
                            keys.getCertificate("lab").getEncoded()),
                    pem(folder.resolve("lab-key.pem"), "PRIVATE KEY", key.getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new IOException("what keytool made can't be read: " + e.getMessage(), e);
        } finally {
            Files.deleteIfExists(store);
        }
    }

    private static Path pem(Path file, String label, byte[] bytes) throws IOException {
        return Files.writeString(
                file,
                "-----BEGIN " + label + "-----\n"
                        + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes) + "\n-----END " + label
                        + "-----\n");
    }
}
