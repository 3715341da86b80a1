package burlarch.lab.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Limits processes to a fraction of a CPU core without privileges, like the kernel's CPU bandwidth controller: in
 * each period a process runs until it has used its quota and is then stopped until the end of the period (SIGSTOP,
 * SIGCONT). CPU time is read from each thread's schedstat, in nanoseconds, some hundred times a second. A process
 * may overrun its quota between two checks; the overrun is deducted from its next periods. The object's lock
 * guards the processes; a daemon thread checks them until {@link #close}.
 */
final class CpuLimiter implements AutoCloseable {
    /** The default period of the kernel's CPU bandwidth controller. */
    static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /**
     * Limit of the overrun carried over, in periods of quota: more would stop a process for seconds after one late
     * check.
     */
    private static final double MAX_OVERRUN_PERIODS = 1;

    /** Accounting of a limited process. */
    private static final class LimitedProcess {
        long usedNanos;
        double allowedNanos;
        boolean stopped;
    }

    private final double cores;
    private final Map<Long, LimitedProcess> processes = new HashMap<>();
    /**
     * A shell whose builtin 'kill' sends the signals: starting a process for each signal would use more CPU than
     * is limited.
     */
    private final Process shell;

    private final Writer commands;
    private final Thread thread;
    private volatile boolean closed;

    /** @param cores CPU cores allowed for each process, greater than 0; may be a fraction */
    CpuLimiter(double cores) throws IOException {
        this.cores = cores;
        shell = new ProcessBuilder("/bin/sh")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = shell.outputWriter(StandardCharsets.US_ASCII);
        thread = new Thread(this::run, "burlarch-cpu-cap");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts limiting a process. A process that has ended is removed automatically. */
    synchronized void limit(long pid) {
        LimitedProcess process = new LimitedProcess();
        process.usedNanos = Math.max(0, cpuNanos(pid));
        process.allowedNanos = cores * PERIOD_NANOS;
        processes.put(pid, process);
    }

    /** @return total CPU time of all current threads of the process, in nanoseconds; -1 if it has ended */
    static long cpuNanos(long pid) {
        long[] total = {0};
        return ThreadCpu.forEachThread(pid, (thread, nanos) -> total[0] += nanos) ? total[0] : -1;
    }

    private void run() {
        long periodStartNanos = System.nanoTime();
        while (!closed) {
            LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
            long nowNanos = System.nanoTime();
            boolean newPeriod = nowNanos - periodStartNanos >= PERIOD_NANOS;
            double elapsedPeriods = 0;
            if (newPeriod) {
                elapsedPeriods = (nowNanos - periodStartNanos) / (double) PERIOD_NANOS;
                periodStartNanos = nowNanos;
            }
            try {
                checkProcesses(elapsedPeriods);
            } catch (IOException e) {
                return;
            }
        }
    }

    private synchronized void checkProcesses(double elapsedPeriods) throws IOException {
        StringBuilder signals = new StringBuilder();
        for (var iterator = processes.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<Long, LimitedProcess> entry = iterator.next();
            LimitedProcess process = entry.getValue();
            long usedNanos = cpuNanos(entry.getKey());
            if (usedNanos < 0) {
                iterator.remove();
                continue;
            }
            process.allowedNanos -= Math.max(0, usedNanos - process.usedNanos);
            process.usedNanos = Math.max(usedNanos, process.usedNanos);
            if (elapsedPeriods > 0) {
                double quotaNanos = cores * PERIOD_NANOS;
                process.allowedNanos = Math.min(
                        quotaNanos,
                        Math.max(process.allowedNanos, -MAX_OVERRUN_PERIODS * quotaNanos)
                                + quotaNanos * elapsedPeriods);
            }
            boolean stop = process.allowedNanos <= 0;
            if (stop != process.stopped) {
                process.stopped = stop;
                signals.append("kill -")
                        .append(stop ? "STOP " : "CONT ")
                        .append(entry.getKey())
                        .append('\n');
            }
        }
        if (!signals.isEmpty()) {
            commands.write(signals.toString());
            commands.flush();
        }
    }

    /** Stops limiting and resumes all processes. */
    @Override
    public void close() {
        closed = true;
        try {
            thread.join(1000);
            synchronized (this) {
                for (long pid : processes.keySet()) {
                    commands.write("kill -CONT " + pid + "\n");
                }
                processes.clear();
                commands.close();
            }
            shell.waitFor(1, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            shell.destroy();
        }
    }
}
