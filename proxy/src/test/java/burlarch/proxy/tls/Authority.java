package burlarch.proxy.tls;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;

/** A certificate authority made for one test, and clients that trust it. */
final class Authority {
    private static final char[] PASSWORD = "changeit".toCharArray();
    private static final int PATIENCE_MS = 20_000;

    final X509Bundle root;

    Authority(String name) throws Exception {
        root = new CertificateBuilder()
                .subject("CN=" + name)
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
    }

    X509Bundle issue(String subject) throws Exception {
        return new CertificateBuilder().subject(subject).buildIssuedBy(root);
    }

    /** The settings of a port on any free port of loopback, with the files in that folder. */
    static TlsSettings settings(Path folder, String minVersion, boolean asksClients) {
        return new TlsSettings(
                new InetSocketAddress("127.0.0.1", 0),
                folder.resolve("cert.pem"),
                folder.resolve("key.pem"),
                minVersion,
                asksClients ? folder.resolve("ca.pem") : null,
                3600);
    }

    static void write(Path folder, X509Bundle certificate) throws IOException {
        Files.writeString(folder.resolve("cert.pem"), certificate.getCertificatePathPEM());
        Files.writeString(folder.resolve("key.pem"), certificate.getPrivateKeyPEM());
    }

    /** @param own the client's certificate, or null */
    SSLSocket connect(InetSocketAddress address, X509Bundle own, String... versions) throws Exception {
        KeyManagerFactory keys = null;
        if (own != null) {
            KeyStore store = KeyStore.getInstance("PKCS12");
            store.load(null, null);
            store.setKeyEntry("client", own.getKeyPair().getPrivate(), PASSWORD, own.getCertificatePath());
            keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            keys.init(store, PASSWORD);
        }
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(
                keys == null ? null : keys.getKeyManagers(),
                root.toTrustManagerFactory().getTrustManagers(),
                null);
        SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(address.getAddress(), address.getPort());
        socket.setSoTimeout(PATIENCE_MS);
        if (versions.length > 0) {
            socket.setEnabledProtocols(versions);
        }
        return socket;
    }
}
