package burlarch.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Measures the lag of the event loop: a request that is read now may have waited in the socket buffer for that
 * long. Callers subtract the lag from a request's time, because a request that was read late would otherwise be
 * answered after its client's deadline. Confined to the event loop's thread.
 */
final class EventLoopLag {
    static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Lag that is reported: twice the lag seen at a start with half a core. */
    static final long REPORTED_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final LongSupplier nowNanos;
    private long lastProbeNanos;
    private long previousProbeNanos;
    private final LongConsumer onLag;
    private LongConsumer probeListener = probeNanos -> {};

    /** @param onLag called with the lag in nanoseconds if it is at least {@link #REPORTED_LAG_NANOS} */
    EventLoopLag(EventLoop loop, LongSupplier nowNanos, LongConsumer onLag) {
        this.nowNanos = nowNanos;
        this.onLag = onLag;
        this.lastProbeNanos = nowNanos.getAsLong();
        this.previousProbeNanos = lastProbeNanos - PROBE_INTERVAL_NANOS;
        loop.scheduleWithFixedDelay(this::probe, PROBE_INTERVAL_NANOS, PROBE_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void probe() {
        previousProbeNanos = lastProbeNanos;
        lastProbeNanos = nowNanos.getAsLong();
        probeListener.accept(lastProbeNanos);
        long lagNanos = lastProbeNanos - previousProbeNanos - PROBE_INTERVAL_NANOS;
        if (lagNanos >= REPORTED_LAG_NANOS) {
            onLag.accept(lagNanos);
        }
    }

    /**
     * Replaces the listener for probes.
     *
     * @param listener called with the time of each probe, in nanoseconds of the clock
     */
    void onProbe(LongConsumer listener) {
        probeListener = listener;
    }

    /**
     * How long a message that is read now may have waited, in nanoseconds. Covers two iterations of the event
     * loop, because a new connection is accepted in one and read in the next.
     */
    long readDelayNanos() {
        return Math.max(0, nowNanos.getAsLong() - previousProbeNanos - 2 * PROBE_INTERVAL_NANOS);
    }
}
