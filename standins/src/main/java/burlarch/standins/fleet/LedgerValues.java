package burlarch.standins.fleet;

import burlarch.standins.model.SeededRandom;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The values at the ledger. Each value contains its key and version, so that a stale value can be recognized.
 * Thread-safe.
 */
final class LedgerValues {
    private static final int MAX_WRITTEN_KEYS = 1_000_000;

    private final FleetPlan.Objects objects;
    private final long seed;
    /** Versions of written keys; all other keys have version 0. */
    private final ConcurrentMap<String, Long> versions = new ConcurrentHashMap<>();

    private final AtomicLong writes = new AtomicLong();

    LedgerValues(FleetPlan.Objects objects, long seed) {
        this.objects = objects;
        this.seed = seed;
    }

    /** Returns the present value of a key, padded to a size drawn from the seed. */
    byte[] read(String key) {
        byte[] header = (key + "@" + versions.getOrDefault(key, 0L) + ";").getBytes(StandardCharsets.UTF_8);
        double size = objects.sizeBytes() * SeededRandom.logNormal(SeededRandom.hash(seed, key), objects.sizeCv());
        byte[] value = Arrays.copyOf(header, (int) Math.max(header.length, Math.min(size, 60_000)));
        Arrays.fill(value, header.length, value.length, (byte) '.');
        return value;
    }

    /** Writes a key and returns the body of the response; null, without a write, if too many keys were written. */
    byte[] write(String key) {
        if (versions.size() >= MAX_WRITTEN_KEYS && !versions.containsKey(key)) {
            return null;
        }
        writes.incrementAndGet();
        return (key + "=" + versions.merge(key, 1L, Long::sum)).getBytes(StandardCharsets.UTF_8);
    }

    long writes() {
        return writes.get();
    }
}
