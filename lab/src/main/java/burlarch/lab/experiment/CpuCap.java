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
 * Holds processes to a part of a core without privileges, as a bandwidth controller of the kernel does: in
 * each period a process runs until it has used its quota and is then stopped until the period's end (SIGSTOP,
 * SIGCONT). CPU is read from each thread's schedstat, to the nanosecond, some hundred times a second: a
 * process may run over by what fits between two looks, and that is taken off its next periods.
 */
final class CpuCap implements AutoCloseable {
    /** As the kernel's controller has it by default. */
    static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    /** What a process may owe from periods before: more would stop it for seconds after one late look. */
    private static final double DEBT_PERIODS = 1;

    /** A process under the cap. */
    private static final class Held {
        long usedNanos;
        double allowedNanos;
        boolean stopped;
    }

    private final double cores;
    private final Map<Long, Held> held = new HashMap<>();
    /** A shell whose own 'kill' sends the signals: a process for each would cost more than what is capped. */
    private final Process shell;

    private final Writer commands;
    private final Thread thread;
    private volatile boolean closed;

    /** @param cores of one core, over 0 */
    CpuCap(double cores) throws IOException {
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

    /** From now on this process is held; one that has ended is forgotten by itself. */
    synchronized void hold(long pid) {
        Held process = new Held();
        process.usedNanos = Math.max(0, cpuNanos(pid));
        process.allowedNanos = cores * PERIOD_NANOS;
        held.put(pid, process);
    }

    /** @return CPU time of all threads that a process has now, in nanoseconds; -1 where it has ended */
    static long cpuNanos(long pid) {
        long[] sum = {0};
        return ThreadCpu.each(pid, (thread, nanos) -> sum[0] += nanos) ? sum[0] : -1;
    }

    private void run() {
        long periodNanos = System.nanoTime();
        while (!closed) {
            LockSupport.parkNanos(LOOK_NANOS);
            long nowNanos = System.nanoTime();
            boolean anew = nowNanos - periodNanos >= PERIOD_NANOS;
            double periods = 0;
            if (anew) {
                periods = (nowNanos - periodNanos) / (double) PERIOD_NANOS;
                periodNanos = nowNanos;
            }
            try {
                look(periods);
            } catch (IOException e) {
                return;
            }
        }
    }

    private synchronized void look(double periods) throws IOException {
        StringBuilder signals = new StringBuilder();
        for (var i = held.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Long, Held> entry = i.next();
            Held process = entry.getValue();
            long usedNanos = cpuNanos(entry.getKey());
            if (usedNanos < 0) {
                i.remove();
                continue;
            }
            process.allowedNanos -= Math.max(0, usedNanos - process.usedNanos);
            process.usedNanos = Math.max(usedNanos, process.usedNanos);
            if (periods > 0) {
                double quotaNanos = cores * PERIOD_NANOS;
                process.allowedNanos = Math.min(
                        quotaNanos, Math.max(process.allowedNanos, -DEBT_PERIODS * quotaNanos) + quotaNanos * periods);
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

    /** Lets all of them run again. */
    @Override
    public void close() {
        closed = true;
        try {
            thread.join(1000);
            synchronized (this) {
                for (long pid : held.keySet()) {
                    commands.write("kill -CONT " + pid + "\n");
                }
                held.clear();
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
