package burlarch.coordination.rollout;

/** The target version of one model's weights. The version only rises. */
final class RolloutTarget {
    final String model;
    final LoadConcurrency concurrency = new LoadConcurrency();
    long version;
    /** When the present version was named, in nanoseconds of the monotonic clock. */
    long raisedAtNanos;

    RolloutTarget(String model) {
        this.model = model;
    }

    void raise(long newVersion, long nowNanos) {
        if (newVersion > version) {
            version = newVersion;
            raisedAtNanos = nowNanos;
        }
    }
}
