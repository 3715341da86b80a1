package burlarch.simulation.disk;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Which files there are and what they hold. */
final class DiskImage {
    private final TreeMap<String, Integer> filesByName = new TreeMap<>();
    private final Map<Integer, byte[]> contentByFile = new HashMap<>();

    DiskImage copy() {
        DiskImage copy = new DiskImage();
        copy.filesByName.putAll(filesByName);
        contentByFile.forEach((file, content) -> copy.contentByFile.put(file, content.clone()));
        return copy;
    }

    Iterable<String> names() {
        return filesByName.keySet();
    }

    Integer fileNamed(String name) {
        return filesByName.get(name);
    }

    byte[] content(int file) {
        return contentByFile.getOrDefault(file, new byte[0]);
    }

    void create(String name, int file) {
        filesByName.put(name, file);
        contentByFile.putIfAbsent(file, new byte[0]);
    }

    void remove(String name) {
        filesByName.remove(name);
    }

    /** A file that is written past its end is filled up with zeros. */
    void write(int file, int position, byte[] data) {
        byte[] before = content(file);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, position + data.length));
        System.arraycopy(data, 0, after, position, data.length);
        contentByFile.put(file, after);
    }

    void truncate(int file, int size) {
        byte[] before = content(file);
        if (size < before.length) {
            contentByFile.put(file, Arrays.copyOf(before, size));
        }
    }
}
