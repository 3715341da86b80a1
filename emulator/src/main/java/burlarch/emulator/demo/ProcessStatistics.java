package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Statistics of a process that the kernel keeps in /proc. */
final class ProcessStatistics {
    /** Linux reports processor time in ticks of 10 ms. */
    private static final long TICK_NANOS = 10_000_000;

    private static final int USER_TICKS = 11;

    private ProcessStatistics() {}

    /** Processor time of all its threads so far, user and system. */
    static long cpuNanos(long pid) throws IOException {
        return cpuNanos(Files.readString(Path.of("/proc", Long.toString(pid), "stat")));
    }

    /** The same from the text of its stat file. Its second field may hold any character. */
    static long cpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1])) * TICK_NANOS;
    }

    /** Peak resident memory, in MB of 1000 kB. */
    static double peakMegabytes(long pid) throws IOException {
        return peakMegabytes(Files.readString(Path.of("/proc", Long.toString(pid), "status")));
    }

    /** The same from the text of its status file. */
    static double peakMegabytes(String status) {
        for (String line : status.split("\n")) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024 / 1e6;
            }
        }
        throw new IllegalArgumentException("no VmHWM");
    }

    /** The machine's load averages. */
    static String load() throws IOException {
        String[] fields = Files.readString(Path.of("/proc/loadavg")).split(" ");
        return fields[0] + " " + fields[1] + " " + fields[2];
    }
}
