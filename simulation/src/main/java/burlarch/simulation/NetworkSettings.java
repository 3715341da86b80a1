package burlarch.simulation;

/**
 * Message delays and fault probabilities of the simulated network, equal on every path. Probabilities are from 0 to 1.
 *
 * @param minDelayNanos minimum delay of a message; delays are uniformly distributed, so messages may be reordered
 * @param maxDelayNanos maximum delay of a message
 * @param lossProbability probability that a message is lost
 * @param duplicationProbability probability that a message is delivered twice
 */
public record NetworkSettings(
        long minDelayNanos, long maxDelayNanos, double lossProbability, double duplicationProbability) {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * Throws IllegalArgumentException if a delay is negative, the range is reversed, or a probability is not in [0, 1].
     */
    public NetworkSettings {
        if (minDelayNanos < 0
                || maxDelayNanos < minDelayNanos
                || !isProbability(lossProbability)
                || !isProbability(duplicationProbability)) {
            throw new IllegalArgumentException("network settings out of bounds");
        }
    }

    private static boolean isProbability(double value) {
        return value >= 0 && value <= 1;
    }

    /** Returns the default settings: delays of 1 to 10 ms, 1% message loss, 0.5% duplication. */
    public static NetworkSettings defaults() {
        return new NetworkSettings(MILLISECOND, 10 * MILLISECOND, 0.01, 0.005);
    }

    /** Returns a copy with another loss probability. */
    public NetworkSettings withLoss(double probability) {
        return new NetworkSettings(minDelayNanos, maxDelayNanos, probability, duplicationProbability);
    }

    /** Returns a copy with another duplication probability. */
    public NetworkSettings withDuplication(double probability) {
        return new NetworkSettings(minDelayNanos, maxDelayNanos, lossProbability, probability);
    }

    /** Returns a copy with another delay range. */
    public NetworkSettings withDelay(long minNanos, long maxNanos) {
        return new NetworkSettings(minNanos, maxNanos, lossProbability, duplicationProbability);
    }
}
