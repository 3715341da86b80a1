package burlarch.standins.model;

/** A request at a server: the work that is left of it, on a standard core. One server's, and one thread's. */
public class Job {
    final long workNanos;
    double leftNanos;
    /** Where it stands; the server's to change. */
    State state = State.NEW;

    enum State {
        NEW,
        WAITING,
        RUNNING,
        OVER
    }

    public Job(long workNanos) {
        this.workNanos = workNanos;
        this.leftNanos = workNanos;
    }

    /** @return whether no server has it yet, or ever had */
    public boolean isNew() {
        return state == State.NEW;
    }

    public long workNanos() {
        return workNanos;
    }
}
