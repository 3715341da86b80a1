package burlarch.simulation.disk;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory snapshot of a file system: a directory that maps names to file numbers, and the content of each file. As
 * with inodes, content belongs to the number, so an open file keeps its content after its name is removed.
 */
final class DiskImage {
    private static final byte[] EMPTY = {};

    private final TreeMap<String, Integer> filesByName = new TreeMap<>();
    private final Map<Integer, byte[]> contentByFile = new HashMap<>();

    /** Returns a deep copy. */
    DiskImage copy() {
        DiskImage copy = new DiskImage();
        copy.filesByName.putAll(filesByName);
        contentByFile.forEach((file, content) -> copy.contentByFile.put(file, content.clone()));
        return copy;
    }

    /** Returns the names of all files in ascending order. */
    Iterable<String> names() {
        return filesByName.keySet();
    }

    /** Returns the number of the named file, or null if the directory has no such name. */
    Integer fileNamed(String name) {
        return filesByName.get(name);
    }

    /** Returns the content of a file, without copying it; empty if the file was never written. */
    byte[] content(int file) {
        return contentByFile.getOrDefault(file, EMPTY);
    }

    /** Adds a directory entry for a file and keeps any content that the file already has. */
    void create(String name, int file) {
        filesByName.put(name, file);
        contentByFile.putIfAbsent(file, EMPTY);
    }

    /** Removes a directory entry; the content of the file remains. */
    void remove(String name) {
        filesByName.remove(name);
    }

    /** Writes data at a byte offset. A gap between the end of the file and the offset is filled with zeros. */
    void write(int file, int position, byte[] data) {
        byte[] before = content(file);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, position + data.length));
        System.arraycopy(data, 0, after, position, data.length);
        contentByFile.put(file, after);
    }

    /** Truncates a file to {@code size} bytes; does nothing if the file is not longer than that. */
    void truncate(int file, int size) {
        byte[] before = content(file);
        if (size < before.length) {
            contentByFile.put(file, Arrays.copyOf(before, size));
        }
    }
}
