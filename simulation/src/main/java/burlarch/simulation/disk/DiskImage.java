package burlarch.simulation.disk;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The files of a disk at one moment: a directory of names, and the content of each file. Files have numbers, so that a
 * file that was opened keeps its content when its name is removed.
 */
final class DiskImage {
    private static final byte[] EMPTY = {};

    private final TreeMap<String, Integer> filesByName = new TreeMap<>();
    private final Map<Integer, byte[]> contentByFile = new HashMap<>();

    DiskImage copy() {
        DiskImage copy = new DiskImage();
        copy.filesByName.putAll(filesByName);
        contentByFile.forEach((file, content) -> copy.contentByFile.put(file, content.clone()));
        return copy;
    }

    /** Names of all files, sorted. */
    Iterable<String> names() {
        return filesByName.keySet();
    }

    /** Number of the file of that name; null where there is none. */
    Integer fileNamed(String name) {
        return filesByName.get(name);
    }

    /** Content of a file; empty for one that was never written. */
    byte[] content(int file) {
        return contentByFile.getOrDefault(file, EMPTY);
    }

    void create(String name, int file) {
        filesByName.put(name, file);
        contentByFile.putIfAbsent(file, EMPTY);
    }

    void remove(String name) {
        filesByName.remove(name);
    }

    /** Writes data at a position. A gap between the end of the file and the position is filled with zeros. */
    void write(int file, int position, byte[] data) {
        byte[] before = content(file);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, position + data.length));
        System.arraycopy(data, 0, after, position, data.length);
        contentByFile.put(file, after);
    }

    /** Shortens a file; does nothing where it is no longer than {@code size}. */
    void truncate(int file, int size) {
        byte[] before = content(file);
        if (size < before.length) {
            contentByFile.put(file, Arrays.copyOf(before, size));
        }
    }
}
