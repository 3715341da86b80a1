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
 * Self-signed certificate for loopback, valid for one day, generated with the JDK's {@code keytool}. Used by
 * experiments whose clients connect over TLS; its key protects nothing outside the experiment's folder.
 */
record LabCertificate(Path certificate, Path key) {
    private static final String STORE_PASSWORD = "only-for-a-lab";

    /**
     * Generates a certificate and a key as PEM files in the folder.
     *
     * @throws IOException with keytool's output if it fails
     */
    static LabCertificate generate(Path folder) throws IOException, InterruptedException {
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
                STORE_PASSWORD);
        try (InputStream input = Files.newInputStream(store)) {
            KeyStore keyStore = KeyStore.getInstance("PKCS12");
            keyStore.load(input, STORE_PASSWORD.toCharArray());
            Key key = keyStore.getKey("lab", STORE_PASSWORD.toCharArray());
            return new LabCertificate(
                    writePem(
                            folder.resolve("lab-cert.pem"),
                            "CERTIFICATE",
                            keyStore.getCertificate("lab").getEncoded()),
                    writePem(folder.resolve("lab-key.pem"), "PRIVATE KEY", key.getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new IOException("cannot read the key store that keytool wrote: " + e.getMessage(), e);
        } finally {
            Files.deleteIfExists(store);
        }
    }

    private static Path writePem(Path file, String label, byte[] bytes) throws IOException {
        return Files.writeString(
                file,
                "-----BEGIN " + label + "-----\n"
                        + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes) + "\n-----END " + label
                        + "-----\n");
    }
}
