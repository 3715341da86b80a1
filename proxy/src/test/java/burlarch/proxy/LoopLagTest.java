package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopLagTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Long> behindNanos = new ArrayList<>();
    private long nowNanos;
    private final LoopLag lag = new LoopLag(channel.eventLoop(), () -> nowNanos, behindNanos::add);

    /** The loop has its turn when so much has passed. */
    private void pass(long nanos) {
        nowNanos += nanos;
        channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void whatTheLoopIsBehindIsToldOnceWhereItIsLong() {
        for (int i = 0; i < 10; i++) {
            pass(LoopLag.BEAT_NANOS);
        }
        pass(LoopLag.BEAT_NANOS + LoopLag.BEHIND_NANOS - 1);
        assertEquals(List.of(), behindNanos);
        pass(LoopLag.BEAT_NANOS + LoopLag.BEHIND_NANOS);
        for (int i = 0; i < 10; i++) {
            pass(LoopLag.BEAT_NANOS);
        }
        assertEquals(List.of(LoopLag.BEHIND_NANOS), behindNanos);
    }

    @Test
    void whatIsReadAfterALongTurnMayHaveLainThereForAsLong() {
        pass(LoopLag.BEAT_NANOS);
        pass(LoopLag.BEAT_NANOS);
        assertEquals(0, lag.nanos());
        nowNanos += LoopLag.BEHIND_NANOS;
        assertEquals(LoopLag.BEHIND_NANOS - LoopLag.BEAT_NANOS, lag.nanos());
    }
}
