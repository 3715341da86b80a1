package burlarch.emulator.demo;

import java.util.concurrent.Flow;

/**
 * Verifies the lines of an event stream: events must be numbered without a gap, up to the one marked as the end.
 * The HTTP client calls it on its threads, one call at a time; the results are read after the response.
 */
final class StreamVerifier implements Flow.Subscriber<String> {
    private volatile long firstNanos;
    private volatile boolean ended;
    private volatile boolean broken;
    private long last;

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
            broken |= number != last + 1 || ended;
            last = number;
        } else if (line.startsWith("data: ") && line.endsWith(" end")) {
            ended = true;
        }
    }

    @Override
    public void onError(Throwable failure) {
        broken = true;
    }

    @Override
    public void onComplete() {
        // Only the event that is marked as the end counts.
    }

    boolean complete() {
        return ended && !broken;
    }

    /** When the first event arrived, 0 before. */
    long firstNanos() {
        return firstNanos;
    }
}
