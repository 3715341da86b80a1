package burlarch.proxy.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.util.Arrays;

/**
 * Contents of the certificate file, the private key file and the client CA file, as read at one moment. Immutable;
 * nothing is parsed or checked before {@link #context}.
 */
final class CertificateFiles {
    private static final byte[] NO_BYTES = {};
    private static final byte[] SIGNATURE_SAMPLE = "do they match?".getBytes(StandardCharsets.US_ASCII);

    private final TlsSettings settings;
    private final byte[] certificatePem;
    private final byte[] keyPem;
    private final byte[] clientCaPem;

    private CertificateFiles(TlsSettings settings, byte[] certificatePem, byte[] keyPem, byte[] clientCaPem) {
        this.settings = settings;
        this.certificatePem = certificatePem;
        this.keyPem = keyPem;
        this.clientCaPem = clientCaPem;
    }

    /**
     * Reads the files.
     *
     * @throws IOException with the file's name if one cannot be read
     */
    static CertificateFiles read(TlsSettings settings) throws IOException {
        return new CertificateFiles(
                settings,
                readFile(settings.certFile()),
                readFile(settings.keyFile()),
                settings.clientCa() == null ? NO_BYTES : readFile(settings.clientCa()));
    }

    private static byte[] readFile(Path file) throws IOException {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": no such file", e);
        } catch (IOException e) {
            throw new IOException(file + ": cannot be read: " + e.getMessage(), e);
        }
    }

    /** Compares contents, because a file's modification time is no reliable sign of a change. */
    boolean sameAs(CertificateFiles other) {
        return other != null
                && Arrays.equals(certificatePem, other.certificatePem)
                && Arrays.equals(keyPem, other.keyPem)
                && Arrays.equals(clientCaPem, other.clientCaPem);
    }

    /**
     * Returns the server's TLS context for these files.
     *
     * @throws IOException with the file's name if a file is invalid or the key does not belong to the certificate
     */
    SslContext context() throws IOException {
        X509Certificate[] chain = parseCertificates(certificatePem, settings.certFile());
        PrivateKey privateKey;
        try {
            privateKey = PemKeyReader.read(keyPem, chain[0].getPublicKey());
        } catch (GeneralSecurityException e) {
            throw new IOException(settings.keyFile() + ": " + e.getMessage(), e);
        }
        if (!isKeyPair(privateKey, chain[0].getPublicKey())) {
            throw new IOException(settings.keyFile() + ": not the key of " + settings.certFile());
        }
        SslContextBuilder builder =
                SslContextBuilder.forServer(privateKey, chain).sslProvider(SslProvider.JDK);
        builder.protocols(
                settings.minVersion().equals("1.3") ? new String[] {"TLSv1.3"} : new String[] {"TLSv1.3", "TLSv1.2"});
        if (settings.clientCa() != null) {
            // Requested, not required; an invalid client certificate fails the handshake.
            builder.trustManager(parseCertificates(clientCaPem, settings.clientCa()))
                    .clientAuth(ClientAuth.OPTIONAL);
        }
        return builder.build();
    }

    private static X509Certificate[] parseCertificates(byte[] pem, Path file) throws IOException {
        try {
            X509Certificate[] chain = CertificateFactory.getInstance("X.509")
                    .generateCertificates(new ByteArrayInputStream(pem))
                    .toArray(X509Certificate[]::new);
            if (chain.length > 0) {
                return chain;
            }
        } catch (GeneralSecurityException e) {
            // Reported below, as for a file without any certificate.
        }
        throw new IOException(file + ": no certificates in PEM");
    }

    private static boolean isKeyPair(PrivateKey privateKey, PublicKey publicKey) {
        String algorithm =
                switch (publicKey.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> publicKey.getAlgorithm();
                };
        try {
            Signature signature = Signature.getInstance(algorithm);
            signature.initSign(privateKey);
            signature.update(SIGNATURE_SAMPLE);
            byte[] signatureBytes = signature.sign();
            signature.initVerify(publicKey);
            signature.update(SIGNATURE_SAMPLE);
            return signature.verify(signatureBytes);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }
}
