package burlarch.coordination.rollout;

/** The weights that a model's engines are to have. */
final class RolloutTarget {
    final String model;
    final LoadPace pace = new LoadPace();
    long version;
    long since;

    RolloutTarget(String model) {
        this.model = model;
    }

    void raise(long named, long now) {
        if (named > version) {
            version = named;
            since = now;
        }
    }
}
