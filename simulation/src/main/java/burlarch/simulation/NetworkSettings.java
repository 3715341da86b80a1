package burlarch.simulation;

/**
 * Delays and fault probabilities of every network path. Delays are in nanoseconds; probabilities are from 0 to 1.
 *
 * @param minDelayNanos least delay of a message; delays are drawn evenly from the range, so messages may be reordered
 * @param maxDelayNanos greatest delay of a message
 * @param lossProbability probability that a message is lost
 * @param duplicationProbability probability that a message is delivered twice
 */
public record NetworkSettings(
        long minDelayNanos, long maxDelayNanos, double lossProbability, double duplicationProbability) {
    private static final long MILLISECOND = 1_000_000L;

    /** Throws IllegalArgumentException for a negative or empty range of delays, or for what is no probability. */
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

    /** Delays of 1 to 10 ms; 1% of the messages are lost, 0.5% are duplicated. */
    public static NetworkSettings defaults() {
        return new NetworkSettings(MILLISECOND, 10 * MILLISECOND, 0.01, 0.005);
    }

    /** The same settings with another probability of loss. */
    public NetworkSettings withLoss(double probability) {
        return new NetworkSettings(minDelayNanos, maxDelayNanos, probability, duplicationProbability);
    }

    /** The same settings with another probability of duplication. */
    public NetworkSettings withDuplication(double probability) {
        return new NetworkSettings(minDelayNanos, maxDelayNanos, lossProbability, probability);
    }

    /** The same settings with another range of delays. */
    public NetworkSettings withDelay(long minNanos, long maxNanos) {
        return new NetworkSettings(minNanos, maxNanos, lossProbability, duplicationProbability);
    }
}
