package burlarch.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A server's slots, waiting room and warmth, without I/O or clock: its host passes the time with every call,
 * and calls {@link #advance} no later than {@link #nextNanos} says. Slots work side by side at equal speed;
 * the waiting room is first in, first out.
 */
public final class ServiceModel {
    /** What became of an offer. */
    public enum Admission {
        TAKEN,
        /** The waiting room is full. */
        FULL,
        /** It has fallen over and answers nothing. */
        FALLEN
    }

    /** The stretch over which a fall is judged is counted in this many parts. */
    private static final int PARTS = 30;
    /** While it warms up its speed changes all the time: jobs in work are looked at again this often. */
    private static final long WARMING_STEP_NANOS = 20_000_000L;

    private final MachineKind kind;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final double[] sentNanos = new double[PARTS];
    private final long[] sentPart = new long[PARTS];
    private long coldSinceNanos;
    private boolean cold;
    private double slowness = 1;
    private long lastNanos;
    private long fallenUntilNanos;
    private int falls;

    /** @param cold whether it starts now, rather than long ago */
    public ServiceModel(MachineKind kind, long nowNanos, boolean cold) {
        this.kind = kind;
        this.cold = cold;
        this.coldSinceNanos = nowNanos;
        this.lastNanos = nowNanos;
        java.util.Arrays.fill(sentPart, Long.MIN_VALUE);
    }

    /** @return what it can do now, in standard cores */
    public double capacity(long nowNanos) {
        return kind.capacity() * warmth(nowNanos) / slowness;
    }

    private double warmth(long nowNanos) {
        if (!cold) {
            return 1;
        }
        double age = (nowNanos - coldSinceNanos) / (double) kind.coldNanos();
        if (age >= 1) {
            cold = false;
            return 1;
        }
        return kind.coldShare() + (1 - kind.coldShare()) * Math.max(0, age);
    }

    /** Makes it so many times slower, from now on; 1 as it was. Jobs in work have done what they have. */
    public List<Job> slow(long nowNanos, double times) {
        List<Job> done = advance(nowNanos);
        slowness = times;
        return done;
    }

    /** Takes a job, or says why not. What is sent counts for a fall whether it is taken or not. */
    public Admission offer(long nowNanos, Job job) {
        if (nowNanos < fallenUntilNanos) {
            return Admission.FALLEN;
        }
        if (cold && overdriven(nowNanos, job.workNanos)) {
            falls++;
            fallenUntilNanos = nowNanos + kind.fallenNanos();
            return Admission.FALLEN;
        }
        if (running.size() < kind.slots()) {
            run(job);
            return Admission.TAKEN;
        }
        if (waiting.size() >= kind.queue()) {
            return Admission.FULL;
        }
        job.state = Job.State.WAITING;
        waiting.add(job);
        return Admission.TAKEN;
    }

    /** Puts work on it that nobody waits for, as a handshake does; it is dropped where there is no room. */
    public void burden(long nowNanos, long workNanos) {
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

    private boolean overdriven(long nowNanos, long workNanos) {
        if (kind.fallMultiple() <= 0 || kind.fallNanos() <= 0) {
            return false;
        }
        long part = nowNanos / (kind.fallNanos() / PARTS);
        int at = (int) Math.floorMod(part, (long) PARTS);
        if (sentPart[at] != part) {
            sentPart[at] = part;
            sentNanos[at] = 0;
        }
        sentNanos[at] += workNanos;
        double sum = 0;
        for (int i = 0; i < PARTS; i++) {
            sum += part - sentPart[i] < PARTS ? sentNanos[i] : 0;
        }
        // Some slack for chance, as the rule has it: a few requests' worth.
        return sum > kind.fallMultiple() * kind.capacity() * warmth(nowNanos) * kind.fallNanos() + 4.0 * workNanos;
    }

    /** @return whether it was still waiting or in work, and is not any more */
    public boolean withdraw(Job job) {
        boolean was = job.state == Job.State.WAITING
                ? waiting.remove(job)
                : job.state == Job.State.RUNNING && running.remove(job);
        job.state = Job.State.OVER;
        return was;
    }

    /** Work done by each job in a slot, per nanosecond. */
    private double rate(long nowNanos) {
        return capacity(nowNanos) / Math.max(kind.cores(), running.size());
    }

    /** Moves on to the time given. @return the jobs that were done by then, in that order */
    public List<Job> advance(long nowNanos) {
        List<Job> done = new ArrayList<>(2);
        while (!running.isEmpty() && lastNanos < nowNanos) {
            double rate = rate(lastNanos);
            double least = Double.MAX_VALUE;
            for (Job job : running) {
                least = Math.min(least, job.leftNanos);
            }
            long spanNanos = Math.min(nowNanos - lastNanos, Math.max(1, (long) Math.ceil(least / rate)));
            if (cold) {
                spanNanos = Math.min(spanNanos, WARMING_STEP_NANOS);
            }
            for (Job job : running) {
                job.leftNanos -= spanNanos * rate;
            }
            lastNanos += spanNanos;
            finish(done);
        }
        lastNanos = Math.max(lastNanos, nowNanos);
        return done;
    }

    private void finish(List<Job> done) {
        for (Iterator<Job> i = running.iterator(); i.hasNext(); ) {
            Job job = i.next();
            if (job.leftNanos <= 0.5) {
                i.remove();
                job.state = Job.State.OVER;
                done.add(job);
            }
        }
        while (running.size() < kind.slots() && !waiting.isEmpty()) {
            run(waiting.poll());
        }
    }

    /**
     * @return when the next job will be done, or is to be looked at again; {@link Long#MAX_VALUE} for never
     */
    public long nextNanos() {
        if (running.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double least = Double.MAX_VALUE;
        for (Job job : running) {
            least = Math.min(least, job.leftNanos);
        }
        long spanNanos = Math.max(1, (long) Math.ceil(least / rate(lastNanos)));
        return lastNanos + (cold ? Math.min(spanNanos, WARMING_STEP_NANOS) : spanNanos);
    }

    public int inWork() {
        return running.size();
    }

    public int waiting() {
        return waiting.size();
    }

    public int falls() {
        return falls;
    }
}
