package burlarch.proxy.tls;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a private key in the forms that PEM files have: PKCS#8, or PKCS#1 and SEC 1, which are older. */
final class PemKey {
    private static final Pattern KEY =
            Pattern.compile("-----BEGIN ((?:RSA |EC )?PRIVATE KEY)-----\\s+([A-Za-z0-9+/=\\s]+)-----END \\1-----");
    private static final int SEQUENCE = 0x30;
    private static final int OCTETS = 0x04;
    private static final byte[] VERSION_0 = {0x02, 0x01, 0x00};

    private PemKey() {}

    /** @param of the certificate's key, whose algorithm an older form does not state */
    static PrivateKey read(byte[] pem, PublicKey of) throws GeneralSecurityException {
        Matcher key = KEY.matcher(new String(pem, StandardCharsets.ISO_8859_1));
        if (!key.find()) {
            throw new GeneralSecurityException("no unencrypted private key in PEM");
        }
        try {
            byte[] der = Base64.getMimeDecoder().decode(key.group(2));
            return KeyFactory.getInstance(of.getAlgorithm())
                    .generatePrivate(
                            new PKCS8EncodedKeySpec(key.group(1).equals("PRIVATE KEY") ? der : pkcs8(der, of)));
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new GeneralSecurityException("no " + of.getAlgorithm() + " key, as the certificate has", e);
        }
    }

    private static byte[] pkcs8(byte[] der, PublicKey of) {
        ByteArrayOutputStream inner = new ByteArrayOutputStream();
        inner.writeBytes(VERSION_0);
        inner.writeBytes(algorithm(of.getEncoded()));
        inner.writeBytes(tagged(OCTETS, der));
        return tagged(SEQUENCE, inner.toByteArray());
    }

    /** A public key is a sequence of its algorithm, itself a sequence, and the bits. */
    private static byte[] algorithm(byte[] publicKey) {
        int at = contentAt(publicKey, 0);
        int end = contentAt(publicKey, at) + length(publicKey, at);
        byte[] algorithm = new byte[end - at];
        System.arraycopy(publicKey, at, algorithm, 0, algorithm.length);
        return algorithm;
    }

    private static int contentAt(byte[] der, int at) {
        int first = der[at + 1] & 0xff;
        return at + 2 + (first < 0x80 ? 0 : first & 0x7f);
    }

    private static int length(byte[] der, int at) {
        int first = der[at + 1] & 0xff;
        int length = first < 0x80 ? first : 0;
        for (int i = at + 2; i < contentAt(der, at); i++) {
            length = length << 8 | der[i] & 0xff;
        }
        return length;
    }

    private static byte[] tagged(int tag, byte[] content) {
        ByteArrayOutputStream der = new ByteArrayOutputStream();
        der.write(tag);
        // As short as it can be, as DER wants it; two bytes hold the length of any key in use.
        if (content.length >= 0x100) {
            der.write(0x82);
            der.write(content.length >> 8);
        } else if (content.length >= 0x80) {
            der.write(0x81);
        }
        der.write(content.length);
        der.writeBytes(content);
        return der.toByteArray();
    }
}
