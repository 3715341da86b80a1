package burlarch.emulator.demo;

import java.util.concurrent.Flow;

/**
 * Subscriber that verifies the lines of an event stream: events must be numbered without a gap, up to the one marked as
 * the end. The HTTP client calls it on its threads, one call at a time; the results are read after the response.
 */
final class StreamVerifier implements Flow.Subscriber<String> {
    private volatile long firstNanos;
    private volatile boolean ended;
    private volatile boolean invalid;
    private long lastNumber;

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.startsWith("id: ")) {
            if (firstNanos == 0) {
                firstNanos = System.nanoTime();
            }
            long number = Long.parseLong(line.substring("id: ".length()));
            invalid |= number != lastNumber + 1 || ended;
            lastNumber = number;
        } else if (line.startsWith("data: ") && line.endsWith(" end")) {
            ended = true;
        }
    }

    @Override
    public void onError(Throwable failure) {
        invalid = true;
    }

    @Override
    public void onComplete() {
        // Only the event that is marked as the end counts.
    }

    /** Returns whether all events up to the end were received in order. */
    boolean isComplete() {
        return ended && !invalid;
    }

    /** Returns the {@link System#nanoTime} at which the first event arrived, 0 before. */
    long firstNanos() {
        return firstNanos;
    }
}
