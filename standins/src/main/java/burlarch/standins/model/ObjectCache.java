package burlarch.standins.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The objects that a cache keeps: up to a number of bytes, and drops those used longest ago. */
public final class ObjectMemory {
    /** What an entry takes beside its value. */
    private static final int OVERHEAD_BYTES = 64;

    private final long mostBytes;
    private final LinkedHashMap<String, byte[]> values = new LinkedHashMap<>(64, 0.75f, true);
    private long bytes;

    public ObjectMemory(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** @return the value, or null where it is not kept */
    public byte[] get(String key) {
        return values.get(key);
    }

    public void put(String key, byte[] value) {
        drop(key);
        values.put(key, value);
        bytes += size(key, value);
        for (Iterator<Map.Entry<String, byte[]>> i = values.entrySet().iterator(); bytes > mostBytes; ) {
            Map.Entry<String, byte[]> oldest = i.next();
            bytes -= size(oldest.getKey(), oldest.getValue());
            i.remove();
        }
    }

    /** @return whether it was kept */
    public boolean drop(String key) {
        byte[] value = values.remove(key);
        if (value != null) {
            bytes -= size(key, value);
        }
        return value != null;
    }

    private static long size(String key, byte[] value) {
        return OVERHEAD_BYTES + key.length() + value.length;
    }

    public int count() {
        return values.size();
    }

    public long bytes() {
        return bytes;
    }
}
