package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reader of process statistics that the Linux kernel publishes in /proc. */
final class ProcessStatistics {
    /** Linux reports processor time in ticks of 10 ms. */
    private static final long TICK_NANOS = 10_000_000;

    /** Index of the user time, counted from the field after the process name; the system time follows. */
    private static final int USER_TICKS_FIELD = 11;

    private ProcessStatistics() {}

    /** Returns the CPU time of all threads of a process so far, user and system. */
    static long cpuNanos(long pid) throws IOException {
        return cpuNanos(Files.readString(Path.of("/proc", Long.toString(pid), "stat")));
    }

    /** Parses the CPU time from the stat file of a process. The second field of it may contain any character. */
    static long cpuNanos(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1])) * TICK_NANOS;
    }

    /** Returns the peak resident memory of a process in megabytes of 1,000,000 bytes. */
    static double peakMegabytes(long pid) throws IOException {
        return peakMegabytes(Files.readString(Path.of("/proc", Long.toString(pid), "status")));
    }

    /** Parses the peak resident memory from the status file of a process. */
    static double peakMegabytes(String status) {
        for (String line : status.split("\n")) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024 / 1e6;
            }
        }
        throw new IllegalArgumentException("status file has no field VmHWM");
    }

    /** Returns the load averages of the machine over 1, 5 and 15 minutes. */
    static String loadAverages() throws IOException {
        String[] fields = Files.readString(Path.of("/proc/loadavg")).split(" ");
        return fields[0] + " " + fields[1] + " " + fields[2];
    }
}
