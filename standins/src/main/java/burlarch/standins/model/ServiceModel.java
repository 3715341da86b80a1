package burlarch.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A queueing model of a server: processor sharing among a bounded number of slots, a bounded FIFO queue, and a
 * capacity that rises while the server warms up. The model is free of I/O and clocks: the caller passes the time with
 * every call, and must call {@link #advance} no later than at {@link #nextNanos}. Not thread-safe.
 */
public final class ServiceModel {
    /** Result of offering a job. */
    public enum Admission {
        /** The job runs or waits in the queue. */
        ACCEPTED,
        /** The queue is full. */
        FULL,
        /** The server failed from overload and processes nothing. */
        FAILED
    }

    /** Number of buckets of the sliding window that detects an overload. */
    private static final int WINDOW_BUCKETS = 30;
    /** Step of {@link #advance} while the server warms up, because its speed changes continuously. */
    private static final long WARMING_STEP_NANOS = 20_000_000L;

    private final MachineKind kind;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final double[] bucketWorkNanos = new double[WINDOW_BUCKETS];
    private final long[] bucketNumbers = new long[WINDOW_BUCKETS];
    private long startedNanos;
    private boolean cold;
    private double slowdown = 1;
    private long currentNanos;
    private long failedUntilNanos;
    private int overloadFailures;

    /**
     * Creates an idle server.
     *
     * @param cold whether the server starts now; otherwise it is warm
     */
    public ServiceModel(MachineKind kind, long nowNanos, boolean cold) {
        this.kind = kind;
        this.cold = cold;
        this.startedNanos = nowNanos;
        this.currentNanos = nowNanos;
        java.util.Arrays.fill(bucketNumbers, Long.MIN_VALUE);
    }

    /** Returns the present capacity, in standard cores. */
    public double capacity(long nowNanos) {
        return kind.capacity() * warmFraction(nowNanos) / slowdown;
    }

    /** Returns the fraction of the full capacity that is available, from the cold share to 1. */
    private double warmFraction(long nowNanos) {
        if (!cold) {
            return 1;
        }
        double elapsedFraction = (nowNanos - startedNanos) / (double) kind.coldNanos();
        if (elapsedFraction >= 1) {
            cold = false;
            return 1;
        }
        return kind.coldShare() + (1 - kind.coldShare()) * Math.max(0, elapsedFraction);
    }

    /**
     * Slows the server down by a factor from now on; 1 restores normal speed. Work done before is kept.
     *
     * @return the jobs completed until now
     */
    public List<Job> slow(long nowNanos, double factor) {
        List<Job> completed = advance(nowNanos);
        slowdown = factor;
        return completed;
    }

    /** Offers a job. Its work counts towards an overload of a cold server whether or not the job is accepted. */
    public Admission offer(long nowNanos, Job job) {
        if (nowNanos < failedUntilNanos) {
            return Admission.FAILED;
        }
        if (cold && exceedsColdLimit(nowNanos, job.workNanos)) {
            overloadFailures++;
            failedUntilNanos = nowNanos + kind.failureNanos();
            return Admission.FAILED;
        }
        if (running.size() < kind.slots()) {
            run(job);
            return Admission.ACCEPTED;
        }
        if (waiting.size() >= kind.queue()) {
            return Admission.FULL;
        }
        job.state = Job.State.WAITING;
        waiting.add(job);
        return Admission.ACCEPTED;
    }

    /** Adds work without a caller, such as a handshake; it is dropped if slots and queue are full. */
    public void addBackgroundWork(long nowNanos, long workNanos) {
        if (running.size() < kind.slots()) {
            run(new Job(workNanos));
        } else if (waiting.size() < kind.queue()) {
            Job job = new Job(workNanos);
            job.state = Job.State.WAITING;
            waiting.add(job);
        }
    }

    private void run(Job job) {
        job.state = Job.State.RUNNING;
        running.add(job);
    }

    /** Adds the work to the sliding window and returns whether the window exceeds the cold server's limit. */
    private boolean exceedsColdLimit(long nowNanos, long workNanos) {
        if (kind.overloadMultiple() <= 0 || kind.overloadWindowNanos() <= 0) {
            return false;
        }
        long bucketNumber = nowNanos / (kind.overloadWindowNanos() / WINDOW_BUCKETS);
        int index = (int) Math.floorMod(bucketNumber, (long) WINDOW_BUCKETS);
        if (bucketNumbers[index] != bucketNumber) {
            bucketNumbers[index] = bucketNumber;
            bucketWorkNanos[index] = 0;
        }
        bucketWorkNanos[index] += workNanos;
        double windowWorkNanos = 0;
        for (int i = 0; i < WINDOW_BUCKETS; i++) {
            windowWorkNanos += bucketNumber - bucketNumbers[i] < WINDOW_BUCKETS ? bucketWorkNanos[i] : 0;
        }
        // A tolerance of a few requests for random variation, as in the audit's cold-start rule.
        return windowWorkNanos
                > kind.overloadMultiple() * kind.capacity() * warmFraction(nowNanos) * kind.overloadWindowNanos()
                        + 4.0 * workNanos;
    }

    /** Removes a job and returns whether it was waiting or running. */
    public boolean remove(Job job) {
        boolean removed = job.state == Job.State.WAITING
                ? waiting.remove(job)
                : job.state == Job.State.RUNNING && running.remove(job);
        job.state = Job.State.ENDED;
        return removed;
    }

    /** Returns the work that each running job does per nanosecond. */
    private double rate(long nowNanos) {
        return capacity(nowNanos) / Math.max(kind.cores(), running.size());
    }

    /** Advances the model to a time and returns the jobs completed by then, in the order of completion. */
    public List<Job> advance(long nowNanos) {
        List<Job> completed = new ArrayList<>(2);
        while (!running.isEmpty() && currentNanos < nowNanos) {
            double rate = rate(currentNanos);
            double leastRemainingNanos = Double.MAX_VALUE;
            for (Job job : running) {
                leastRemainingNanos = Math.min(leastRemainingNanos, job.remainingNanos);
            }
            long spanNanos =
                    Math.min(nowNanos - currentNanos, Math.max(1, (long) Math.ceil(leastRemainingNanos / rate)));
            if (cold) {
                spanNanos = Math.min(spanNanos, WARMING_STEP_NANOS);
            }
            for (Job job : running) {
                job.remainingNanos -= spanNanos * rate;
            }
            currentNanos += spanNanos;
            completeJobs(completed);
        }
        currentNanos = Math.max(currentNanos, nowNanos);
        return completed;
    }

    /** Removes completed jobs and starts waiting ones. */
    private void completeJobs(List<Job> completed) {
        for (Iterator<Job> i = running.iterator(); i.hasNext(); ) {
            Job job = i.next();
            if (job.remainingNanos <= 0.5) {
                i.remove();
                job.state = Job.State.ENDED;
                completed.add(job);
            }
        }
        while (running.size() < kind.slots() && !waiting.isEmpty()) {
            run(waiting.poll());
        }
    }

    /**
     * Returns when {@link #advance} must be called next: at the next completion, or earlier while the server warms up;
     * {@link Long#MAX_VALUE} if no job is running.
     */
    public long nextNanos() {
        if (running.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double leastRemainingNanos = Double.MAX_VALUE;
        for (Job job : running) {
            leastRemainingNanos = Math.min(leastRemainingNanos, job.remainingNanos);
        }
        long spanNanos = Math.max(1, (long) Math.ceil(leastRemainingNanos / rate(currentNanos)));
        return currentNanos + (cold ? Math.min(spanNanos, WARMING_STEP_NANOS) : spanNanos);
    }

    /** Number of running jobs. */
    public int running() {
        return running.size();
    }

    /** Number of queued jobs. */
    public int waiting() {
        return waiting.size();
    }

    /** Number of failures from overload. */
    public int overloadFailures() {
        return overloadFailures;
    }
}
