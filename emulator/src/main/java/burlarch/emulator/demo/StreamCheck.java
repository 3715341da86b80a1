package burlarch.emulator.demo;

import java.util.concurrent.Flow;

/**
 * Follows the lines of an answer: events have to be numbered without a gap, up to the one that says the end.
 */
final class StreamCheck implements Flow.Subscriber<String> {
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
        // What counts is the event that says the end.
    }

    boolean complete() {
        return ended && !broken;
    }

    /** When the first event came. */
    long firstNanos() {
        return firstNanos;
    }
}
