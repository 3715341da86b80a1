package burlarch.standins.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** An LRU cache of objects, bounded by their total size in bytes. Not thread-safe. */
public final class ObjectCache {
    /** Memory of an entry besides its key and value. */
    private static final int OVERHEAD_BYTES = 64;

    private final long maxBytes;
    private final LinkedHashMap<String, byte[]> values = new LinkedHashMap<>(64, 0.75f, true);
    private long bytes;

    /** Creates a cache for at most {@code maxBytes} bytes. */
    public ObjectCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the value of a key and marks it as recently used; null if it is not cached. */
    public byte[] get(String key) {
        return values.get(key);
    }

    /** Stores a value and evicts the least recently used entries beyond the bound. */
    public void put(String key, byte[] value) {
        remove(key);
        values.put(key, value);
        bytes += size(key, value);
        for (Iterator<Map.Entry<String, byte[]>> i = values.entrySet().iterator(); bytes > maxBytes; ) {
            Map.Entry<String, byte[]> oldest = i.next();
            bytes -= size(oldest.getKey(), oldest.getValue());
            i.remove();
        }
    }

    /** Removes a key and returns whether it was cached. */
    public boolean remove(String key) {
        byte[] value = values.remove(key);
        if (value != null) {
            bytes -= size(key, value);
        }
        return value != null;
    }

    private static long size(String key, byte[] value) {
        return OVERHEAD_BYTES + key.length() + value.length;
    }

    /** Number of cached objects. */
    public int count() {
        return values.size();
    }

    /** Total size of the entries, including overhead. */
    public long bytes() {
        return bytes;
    }
}
