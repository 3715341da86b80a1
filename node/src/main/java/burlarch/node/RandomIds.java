package burlarch.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Generator of random ids of processes and disks. It reads the random device of the operating system, because processes
 * on many machines may start at the same instant, and a generator seeded with the time could give them equal ids.
 * It reads the device directly, because the security providers that {@link SecureRandom} loads slow down each start.
 */
public final class RandomIds {
    private static final String RANDOM_DEVICE = "/dev/urandom";

    private RandomIds() {}

    /** Returns a random number other than 0. */
    public static long nonZero() {
        long id = 0;
        while (id == 0) {
            id = ByteBuffer.wrap(bytes(Long.BYTES)).getLong();
        }
        return id;
    }

    /** Returns {@code count} random bytes. */
    public static byte[] bytes(int count) {
        try (InputStream device = new FileInputStream(RANDOM_DEVICE)) {
            byte[] randomBytes = device.readNBytes(count);
            if (randomBytes.length == count) {
                return randomBytes;
            }
        } catch (IOException e) {
            // The system has no such device: falls back to SecureRandom.
        }
        byte[] randomBytes = new byte[count];
        new SecureRandom().nextBytes(randomBytes);
        return randomBytes;
    }
}
