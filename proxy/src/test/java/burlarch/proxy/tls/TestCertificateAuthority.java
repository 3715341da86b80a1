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

/** Certificate authority created for one test, and TLS clients that trust it. */
final class TestCertificateAuthority {
    private static final char[] KEY_STORE_PASSWORD = "changeit".toCharArray();
    private static final int READ_TIMEOUT_MS = 20_000;

    final X509Bundle rootCertificate;

    TestCertificateAuthority(String name) throws Exception {
        rootCertificate = new CertificateBuilder()
                .subject("CN=" + name)
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
    }

    /** Issues a certificate with a new key for the subject. */
    X509Bundle issue(String subject) throws Exception {
        return new CertificateBuilder().subject(subject).buildIssuedBy(rootCertificate);
    }

    /**
     * Returns settings of a TLS port on any free loopback port, with the files of the folder.
     *
     * @param requestsClientCertificate whether client certificates are requested
     */
    static TlsSettings settings(Path folder, String minVersion, boolean requestsClientCertificate) {
        return new TlsSettings(
                new InetSocketAddress("127.0.0.1", 0),
                folder.resolve("cert.pem"),
                folder.resolve("key.pem"),
                minVersion,
                requestsClientCertificate ? folder.resolve("ca.pem") : null,
                3600);
    }

    /** Writes the certificate chain and its key to the files that {@link #settings} names. */
    static void write(Path folder, X509Bundle certificate) throws IOException {
        Files.writeString(folder.resolve("cert.pem"), certificate.getCertificatePathPEM());
        Files.writeString(folder.resolve("key.pem"), certificate.getPrivateKeyPEM());
    }

    /**
     * Opens a connection without a handshake.
     *
     * @param clientCertificate the client's certificate, or null
     * @param versions the TLS versions to offer; the client's default if empty
     */
    SSLSocket connect(InetSocketAddress address, X509Bundle clientCertificate, String... versions) throws Exception {
        KeyManagerFactory keyManagers = null;
        if (clientCertificate != null) {
            KeyStore keyStore = KeyStore.getInstance("PKCS12");
            keyStore.load(null, null);
            keyStore.setKeyEntry(
                    "client",
                    clientCertificate.getKeyPair().getPrivate(),
                    KEY_STORE_PASSWORD,
                    clientCertificate.getCertificatePath());
            keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            keyManagers.init(keyStore, KEY_STORE_PASSWORD);
        }
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(
                keyManagers == null ? null : keyManagers.getKeyManagers(),
                rootCertificate.toTrustManagerFactory().getTrustManagers(),
                null);
        SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        if (versions.length > 0) {
            socket.setEnabledProtocols(versions);
        }
        return socket;
    }
}
