package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Measurement of the event loop's lag, with a manual clock. */
class EventLoopLagTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Long> reportedLagsNanos = new ArrayList<>();
    private long nowNanos;
    private final EventLoopLag lag = new EventLoopLag(channel.eventLoop(), () -> nowNanos, reportedLagsNanos::add);

    /** Advances the clock and runs the event loop once. */
    private void advance(long nanos) {
        nowNanos += nanos;
        channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void lagAboveThresholdIsReportedOnce() {
        for (int i = 0; i < 10; i++) {
            advance(EventLoopLag.PROBE_INTERVAL_NANOS);
        }
        advance(EventLoopLag.PROBE_INTERVAL_NANOS + EventLoopLag.REPORTED_LAG_NANOS - 1);
        assertEquals(List.of(), reportedLagsNanos);
        advance(EventLoopLag.PROBE_INTERVAL_NANOS + EventLoopLag.REPORTED_LAG_NANOS);
        for (int i = 0; i < 10; i++) {
            advance(EventLoopLag.PROBE_INTERVAL_NANOS);
        }
        assertEquals(List.of(EventLoopLag.REPORTED_LAG_NANOS), reportedLagsNanos);
    }

    @Test
    void readDelayCoversTimeSinceLoopWasBlocked() {
        advance(EventLoopLag.PROBE_INTERVAL_NANOS);
        advance(EventLoopLag.PROBE_INTERVAL_NANOS);
        assertEquals(0, lag.readDelayNanos());
        nowNanos += EventLoopLag.REPORTED_LAG_NANOS;
        assertEquals(EventLoopLag.REPORTED_LAG_NANOS - EventLoopLag.PROBE_INTERVAL_NANOS, lag.readDelayNanos());
    }
}
