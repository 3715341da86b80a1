package burlarch.simulation;

/**
 * How every link behaves. Times in nanoseconds, shares from 0 to 1.
 *
 * @param minDelay least time on the way; delays are evenly spread, so messages overtake each other
 * @param loss share of messages that get lost
 * @param duplication share of messages that arrive twice
 */
public record NetworkSettings(long minDelay, long maxDelay, double loss, double duplication) {
    private static final long MILLISECOND = 1_000_000L;

    public NetworkSettings {
        if (minDelay < 0 || maxDelay < minDelay || !isShare(loss) || !isShare(duplication)) {
            throw new IllegalArgumentException("network settings out of bounds");
        }
    }

    private static boolean isShare(double value) {
        return value >= 0 && value <= 1;
    }

    /** 1 to 10 ms; one message in a hundred is lost, one in two hundred comes twice. */
    public static NetworkSettings usual() {
        return new NetworkSettings(MILLISECOND, 10 * MILLISECOND, 0.01, 0.005);
    }

    public NetworkSettings withLoss(double share) {
        return new NetworkSettings(minDelay, maxDelay, share, duplication);
    }

    public NetworkSettings withDuplication(double share) {
        return new NetworkSettings(minDelay, maxDelay, loss, share);
    }

    public NetworkSettings withDelay(long least, long most) {
        return new NetworkSettings(least, most, loss, duplication);
    }
}
