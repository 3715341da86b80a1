package burlarch.coordination.rollout;

/** The weights that the engines of one model are to have. The version only rises. */
final class RolloutTarget {
    final String model;
    final LoadConcurrency concurrency = new LoadConcurrency();
    long version;
    /** When the present version was named. */
    long raisedAtNanos;

    RolloutTarget(String model) {
        this.model = model;
    }

    void raise(long named, long nowNanos) {
        if (named > version) {
            version = named;
            raisedAtNanos = nowNanos;
        }
    }
}
