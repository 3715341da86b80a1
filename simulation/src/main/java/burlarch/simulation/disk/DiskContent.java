package burlarch.simulation.disk;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Which files there are and what they hold. */
final class DiskContent {
    private final TreeMap<String, Integer> names = new TreeMap<>();
    private final Map<Integer, byte[]> bytes = new HashMap<>();

    DiskContent copy() {
        DiskContent copy = new DiskContent();
        copy.names.putAll(names);
        bytes.forEach((file, content) -> copy.bytes.put(file, content.clone()));
        return copy;
    }

    Iterable<String> names() {
        return names.keySet();
    }

    Integer file(String name) {
        return names.get(name);
    }

    byte[] bytes(int file) {
        return bytes.getOrDefault(file, new byte[0]);
    }

    void create(String name, int file) {
        names.put(name, file);
        bytes.putIfAbsent(file, new byte[0]);
    }

    void remove(String name) {
        names.remove(name);
    }

    /** A file that is written past its end is filled up with zeros. */
    void write(int file, int position, byte[] data) {
        byte[] before = bytes(file);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, position + data.length));
        System.arraycopy(data, 0, after, position, data.length);
        bytes.put(file, after);
    }

    void truncate(int file, int size) {
        byte[] before = bytes(file);
        if (size < before.length) {
            bytes.put(file, Arrays.copyOf(before, size));
        }
    }
}
