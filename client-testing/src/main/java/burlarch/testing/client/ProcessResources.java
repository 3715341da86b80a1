package burlarch.testing.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reader of what a process holds, from what the Linux kernel publishes in /proc. */
public final class ProcessResources {
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";
    private static final long BYTES_PER_KILOBYTE = 1024;

    private ProcessResources() {}

    /** Returns the peak of the resident memory of a process, in bytes. */
    public static long peakMemoryBytes(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith(PEAK_MEMORY_FIELD)) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KILOBYTE;
            }
        }
        throw new IOException("process " + pid + " has no " + PEAK_MEMORY_FIELD);
    }

    /** Returns the number of descriptors that a process has open. */
    public static long openDescriptors(long pid) throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
            return descriptors.count();
        }
    }
}
