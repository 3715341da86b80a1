package burlarch.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Random identities of processes and disks. They come from the system's source, because processes of many machines may
 * start in the same instant: a generator that is seeded by the time would give some of them the same identity. The
 * source is read directly; the security providers that {@link SecureRandom} loads make each start slower.
 */
public final class RandomIds {
    private static final String SYSTEM_SOURCE = "/dev/urandom";

    private RandomIds() {}

    /** A random number other than 0. */
    public static long nonZero() {
        long drawn = 0;
        while (drawn == 0) {
            drawn = ByteBuffer.wrap(bytes(Long.BYTES)).getLong();
        }
        return drawn;
    }

    /** So many random bytes. */
    public static byte[] bytes(int count) {
        try (InputStream source = new FileInputStream(SYSTEM_SOURCE)) {
            byte[] drawn = source.readNBytes(count);
            if (drawn.length == count) {
                return drawn;
            }
        } catch (IOException e) {
            // The system has no such source: the one below serves.
        }
        byte[] drawn = new byte[count];
        new SecureRandom().nextBytes(drawn);
        return drawn;
    }
}
