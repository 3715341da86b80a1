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

/** The certificate, its key and the clients' authority, as their files held them at one moment. */
final class Certificates {
    private static final byte[] NONE = {};
    private static final byte[] SAMPLE = "do they match?".getBytes(StandardCharsets.US_ASCII);

    private final TlsSettings settings;
    private final byte[] cert;
    private final byte[] key;
    private final byte[] clientCa;

    private Certificates(TlsSettings settings, byte[] cert, byte[] key, byte[] clientCa) {
        this.settings = settings;
        this.cert = cert;
        this.key = key;
        this.clientCa = clientCa;
    }

    static Certificates read(TlsSettings settings) throws IOException {
        return new Certificates(
                settings,
                bytes(settings.certFile()),
                bytes(settings.keyFile()),
                settings.clientCa() == null ? NONE : bytes(settings.clientCa()));
    }

    private static byte[] bytes(Path file) throws IOException {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": no such file", e);
        } catch (IOException e) {
            throw new IOException(file + ": cannot be read: " + e.getMessage(), e);
        }
    }

    /** By content, as a file's time may stay or change without it. */
    boolean sameAs(Certificates other) {
        return other != null
                && Arrays.equals(cert, other.cert)
                && Arrays.equals(key, other.key)
                && Arrays.equals(clientCa, other.clientCa);
    }

    /** @throws IOException with the file that is wrong, where any is */
    SslContext context() throws IOException {
        X509Certificate[] chain = chain(cert, settings.certFile());
        PrivateKey privateKey;
        try {
            privateKey = PemKey.read(key, chain[0].getPublicKey());
        } catch (GeneralSecurityException e) {
            throw new IOException(settings.keyFile() + ": " + e.getMessage(), e);
        }
        if (!match(privateKey, chain[0].getPublicKey())) {
            throw new IOException(settings.keyFile() + ": not the key of " + settings.certFile());
        }
        SslContextBuilder builder =
                SslContextBuilder.forServer(privateKey, chain).sslProvider(SslProvider.JDK);
        builder.protocols(
                settings.minVersion().equals("1.3") ? new String[] {"TLSv1.3"} : new String[] {"TLSv1.3", "TLSv1.2"});
        if (settings.clientCa() != null) {
            // Asked for, not required; one that is shown and not good ends the handshake.
            builder.trustManager(chain(clientCa, settings.clientCa())).clientAuth(ClientAuth.OPTIONAL);
        }
        return builder.build();
    }

    private static X509Certificate[] chain(byte[] pem, Path file) throws IOException {
        try {
            X509Certificate[] chain = CertificateFactory.getInstance("X.509")
                    .generateCertificates(new ByteArrayInputStream(pem))
                    .toArray(X509Certificate[]::new);
            if (chain.length > 0) {
                return chain;
            }
        } catch (GeneralSecurityException e) {
            // Said below, as for a file that holds none.
        }
        throw new IOException(file + ": no certificates in PEM");
    }

    private static boolean match(PrivateKey privateKey, PublicKey publicKey) {
        String algorithm =
                switch (publicKey.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> publicKey.getAlgorithm();
                };
        try {
            Signature signature = Signature.getInstance(algorithm);
            signature.initSign(privateKey);
            signature.update(SAMPLE);
            byte[] signed = signature.sign();
            signature.initVerify(publicKey);
            signature.update(SAMPLE);
            return signature.verify(signed);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }
}
