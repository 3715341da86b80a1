package burlarch.standins.fleet;

import burlarch.standins.model.Draw;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

/** What the ledger holds: a value tells its key and its version, so that an old one can be known for one. */
final class Values {
    private static final int WRITTEN_MOST = 1_000_000;

    private final FleetPlan.Objects objects;
    private final long seed;
    /** Of keys that were written; all others are at version 0. */
    private final ConcurrentMap<String, Long> versions = new ConcurrentHashMap<>();

    private final AtomicLong writes = new AtomicLong();

    Values(FleetPlan.Objects objects, long seed) {
        this.objects = objects;
        this.seed = seed;
    }

    byte[] read(String key) {
        byte[] text = (key + "@" + versions.getOrDefault(key, 0L) + ";").getBytes(StandardCharsets.UTF_8);
        double size = objects.sizeBytes() * Draw.logNormal(Draw.hash(seed, key), objects.sizeCv());
        byte[] value = Arrays.copyOf(text, (int) Math.max(text.length, Math.min(size, 60_000)));
        Arrays.fill(value, text.length, value.length, (byte) '.');
        return value;
    }

    /** @return the answer to the write; null where it is one of too many keys, and not carried out */
    byte[] write(String key) {
        if (versions.size() >= WRITTEN_MOST && !versions.containsKey(key)) {
            return null;
        }
        writes.incrementAndGet();
        return (key + "=" + versions.merge(key, 1L, Long::sum)).getBytes(StandardCharsets.UTF_8);
    }

    long writes() {
        return writes.get();
    }
}
