package burlarch.emulator.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A process of a soak, and the times at which it was disrupted or terminated. One step acts on it at a time, which has
 * {@linkplain #reserve reserved} it; the queries may be called on any thread.
 */
final class SoakProcess {
    /** Time from a SIGTERM during which the end of a connection counts as planned work: {@code grace_s} and 1 s. */
    private static final long PLANNED_WORK_NANOS = TimeUnit.SECONDS.toNanos(9);

    private static final long MAX_END_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 5;

    private final String name;
    private final FleetProcess process;
    private final Semaphore reservation = new Semaphore(1);
    private final List<Disruption> disruptions = new ArrayList<>();
    private final List<Long> terminationNanos = new ArrayList<>();

    /** A kill, a pause or a restart; its end is open while it lasts. */
    private static final class Disruption {
        private final long fromNanos = System.nanoTime();
        private long toNanos = Long.MAX_VALUE;

        boolean overlaps(long from, long to) {
            return fromNanos - to <= 0 && (toNanos == Long.MAX_VALUE || toNanos - from >= 0);
        }
    }

    /** What a step does to a process. */
    interface Action {
        void perform() throws Exception;
    }

    SoakProcess(String name, FleetProcess process) {
        this.name = name;
        this.process = process;
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Reserves the process for one step; returns false if another step has it. */
    boolean reserve() {
        return reservation.tryAcquire();
    }

    /** Ends the reservation. */
    void release() {
        reservation.release();
    }

    /** Performs an action unless another step acts on the process. */
    void act(Action action) throws Exception {
        if (!reserve()) {
            return;
        }
        try {
            action.perform();
        } finally {
            release();
        }
    }

    void start() throws IOException {
        process.start();
    }

    void kill() throws InterruptedException {
        process.kill();
    }

    /** Kills the process and prevents further starts. */
    void killPermanently() throws InterruptedException {
        process.killPermanently();
    }

    /** Sends SIGTERM and waits for the end of the process; kills it if that does not come. Returns whether it came. */
    boolean terminate() throws InterruptedException {
        process.terminate();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_END_MILLIS);
        while (process.isAlive()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                process.kill();
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    /** Sends a signal, unless the process is not running. */
    void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    synchronized void beginDisruption() {
        disruptions.add(new Disruption());
    }

    synchronized void endDisruption() {
        disruptions.get(disruptions.size() - 1).toNanos = System.nanoTime();
    }

    synchronized void recordTermination() {
        terminationNanos.add(System.nanoTime());
    }

    /** Whether nothing disrupted the process from one time to another. */
    synchronized boolean isUndisrupted(long fromNanos, long toNanos) {
        return disruptions.stream().noneMatch(disruption -> disruption.overlaps(fromNanos, toNanos));
    }

    /** Whether the process was terminated shortly before this time, so that it is to end in an orderly way. */
    synchronized boolean isInPlannedWork(long nanos) {
        return terminationNanos.stream().anyMatch(at -> nanos - at >= 0 && nanos - at <= PLANNED_WORK_NANOS);
    }
}
