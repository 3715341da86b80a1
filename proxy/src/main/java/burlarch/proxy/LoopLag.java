package burlarch.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * How far the event loop is behind: what is read now may have lain in the socket for that long. Guards
 * against giving a request that was read late its whole time from then on, and answering it too late.
 */
final class LoopLag {
    static final long BEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** What is worth a line in the log: twice what a start at half a core was seen to bring about. */
    static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final LongSupplier nowNanos;
    private long lastBeatNanos;
    private long beatBeforeNanos;
    private final LongConsumer whenBehind;
    private LongConsumer listener = beatNanos -> {};

    /** @param whenBehind is told for how long the loop has done nothing else, where that was long */
    LoopLag(EventLoop loop, LongSupplier nowNanos, LongConsumer whenBehind) {
        this.nowNanos = nowNanos;
        this.whenBehind = whenBehind;
        this.lastBeatNanos = nowNanos.getAsLong();
        this.beatBeforeNanos = lastBeatNanos - BEAT_NANOS;
        loop.scheduleWithFixedDelay(this::beat, BEAT_NANOS, BEAT_NANOS, TimeUnit.NANOSECONDS);
    }

    private void beat() {
        beatBeforeNanos = lastBeatNanos;
        lastBeatNanos = nowNanos.getAsLong();
        listener.accept(lastBeatNanos);
        long behindNanos = lastBeatNanos - beatBeforeNanos - BEAT_NANOS;
        if (behindNanos >= BEHIND_NANOS) {
            whenBehind.accept(behindNanos);
        }
    }

    /** @param other is told the time of each beat */
    void onBeat(LongConsumer other) {
        listener = other;
    }

    /** Over two turns of the loop, as a new connection is accepted in one and read in the next. */
    long nanos() {
        return Math.max(0, nowNanos.getAsLong() - beatBeforeNanos - 2 * BEAT_NANOS);
    }
}
