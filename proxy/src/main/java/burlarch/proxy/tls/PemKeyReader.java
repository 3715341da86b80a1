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

/** Reads an unencrypted private key from PEM: PKCS#8, or the older PKCS#1 (RSA) and SEC 1 (EC). */
final class PemKeyReader {
    private static final Pattern PEM_KEY_PATTERN =
            Pattern.compile("-----BEGIN ((?:RSA |EC )?PRIVATE KEY)-----\\s+([A-Za-z0-9+/=\\s]+)-----END \\1-----");
    private static final int SEQUENCE_TAG = 0x30;
    private static final int OCTET_STRING_TAG = 0x04;
    private static final byte[] DER_INTEGER_0 = {0x02, 0x01, 0x00};

    private PemKeyReader() {}

    /**
     * Returns the first private key of the file.
     *
     * @param certificateKey the certificate's public key, whose algorithm applies because the older formats state none
     * @throws GeneralSecurityException if there is no such key, or it has another algorithm than the certificate
     */
    static PrivateKey read(byte[] pem, PublicKey certificateKey) throws GeneralSecurityException {
        Matcher keyMatcher = PEM_KEY_PATTERN.matcher(new String(pem, StandardCharsets.ISO_8859_1));
        if (!keyMatcher.find()) {
            throw new GeneralSecurityException("no unencrypted private key in PEM format");
        }
        try {
            byte[] der = Base64.getMimeDecoder().decode(keyMatcher.group(2));
            return KeyFactory.getInstance(certificateKey.getAlgorithm())
                    .generatePrivate(new PKCS8EncodedKeySpec(
                            keyMatcher.group(1).equals("PRIVATE KEY") ? der : wrapInPkcs8(der, certificateKey)));
        } catch (GeneralSecurityException | RuntimeException e) {
            throw new GeneralSecurityException(
                    "not a valid " + certificateKey.getAlgorithm() + " key, which the certificate requires", e);
        }
    }

    private static byte[] wrapInPkcs8(byte[] der, PublicKey certificateKey) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.writeBytes(DER_INTEGER_0);
        content.writeBytes(encodedAlgorithm(certificateKey.getEncoded()));
        content.writeBytes(encode(OCTET_STRING_TAG, der));
        return encode(SEQUENCE_TAG, content.toByteArray());
    }

    /**
     * Returns the encoded algorithm: a public key is a SEQUENCE of the algorithm, itself a SEQUENCE, and a BIT STRING.
     */
    private static byte[] encodedAlgorithm(byte[] publicKey) {
        int offset = contentOffset(publicKey, 0);
        int end = contentOffset(publicKey, offset) + contentLength(publicKey, offset);
        byte[] algorithm = new byte[end - offset];
        System.arraycopy(publicKey, offset, algorithm, 0, algorithm.length);
        return algorithm;
    }

    private static int contentOffset(byte[] der, int offset) {
        int lengthByte = der[offset + 1] & 0xff;
        return offset + 2 + (lengthByte < 0x80 ? 0 : lengthByte & 0x7f);
    }

    private static int contentLength(byte[] der, int offset) {
        int lengthByte = der[offset + 1] & 0xff;
        int length = lengthByte < 0x80 ? lengthByte : 0;
        for (int i = offset + 2; i < contentOffset(der, offset); i++) {
            length = length << 8 | der[i] & 0xff;
        }
        return length;
    }

    private static byte[] encode(int tag, byte[] content) {
        ByteArrayOutputStream der = new ByteArrayOutputStream();
        der.write(tag);
        // DER requires the shortest length encoding; two bytes hold the length of any key in use.
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
