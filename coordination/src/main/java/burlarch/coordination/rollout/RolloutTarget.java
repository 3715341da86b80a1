package burlarch.coordination.rollout;

/** The weights that a model's engines are to have. */
final class RolloutTarget {
    final String model;
    final LoadConcurrency concurrency = new LoadConcurrency();
    long version;
    long raisedAtNanos;

    RolloutTarget(String model) {
        this.model = model;
    }

    void raise(long named, long now) {
        if (named > version) {
            version = named;
            raisedAtNanos = now;
        }
    }
}
