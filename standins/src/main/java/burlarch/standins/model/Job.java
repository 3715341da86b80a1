package burlarch.standins.model;

/**
 * A request at a server and its remaining work, on a standard core. Belongs to one {@link ServiceModel}; not
 * thread-safe.
 */
public class Job {
    final long workNanos;
    double remainingNanos;
    /** Changed by the {@link ServiceModel} only. */
    State state = State.NEW;

    /** State of a job at its server. */
    enum State {
        NEW,
        WAITING,
        RUNNING,
        ENDED
    }

    /** Creates a job of this much work, in nanoseconds on a standard core. */
    public Job(long workNanos) {
        this.workNanos = workNanos;
        this.remainingNanos = workNanos;
    }

    /** Whether the job was never offered to a server. */
    public boolean isNew() {
        return state == State.NEW;
    }

    /** Total work of the job. */
    public long workNanos() {
        return workNanos;
    }
}
