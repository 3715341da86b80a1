package burlarch.coordination.rollout;

/** The target version of one model's weights, with the times at which versions were named. The version only rises. */
final class RolloutTarget {
    final String model;
    final LoadConcurrency concurrency = new LoadConcurrency();
    private final VersionTimeline namedVersions = new VersionTimeline();

    RolloutTarget(String model) {
        this.model = model;
    }

    void raise(long newVersion, long nowNanos) {
        namedVersions.add(newVersion, nowNanos);
    }

    /** Returns the newest named version, 0 if there is none. */
    long version() {
        return namedVersions.newest();
    }

    /**
     * Returns when the first version after the given one was named, in nanoseconds of the monotonic clock. The given
     * version must be older than the target.
     */
    long supersededAtNanos(long olderVersion) {
        return namedVersions.supersededAtNanos(olderVersion).orElseThrow();
    }
}
