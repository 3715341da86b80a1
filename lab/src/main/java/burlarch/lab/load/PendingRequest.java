package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** A request that has been taken from the schedule and is sent alone or as a line of a multi-get. */
final class PendingRequest extends Exchange {
    final PlannedRequest planned;
    final long dueNanos;
    private final RequestTracker tracker;
    boolean completed;
    /** The multi-get that carries it; null if it is sent alone. */
    MultiGet multiGet;

    PendingRequest(PlannedRequest planned, ConnectionPool pool, long dueNanos, RequestTracker tracker) {
        super(pool);
        this.planned = planned;
        this.dueNanos = dueNanos;
        this.tracker = tracker;
    }

    /** Returns the exchange that carries this request. */
    Exchange carrier() {
        return multiGet == null ? this : multiGet;
    }

    void complete(RequestResult result) {
        tracker.complete(this, result);
    }

    @Override
    boolean isComplete() {
        return completed;
    }

    @Override
    boolean needsBody() {
        return false;
    }

    @Override
    ByteBuf encode(RequestEncoder encoder, ByteBufAllocator allocator) {
        return encoder.single(allocator, planned);
    }

    @Override
    void onResponse(ResponseParser parser) {
        complete(RequestResult.ofResponse(parser.status, parser.bodyDigest, parser.retryAfterS));
    }

    @Override
    void onExtraResponse() {
        tracker.onExtraResponse(this);
    }

    @Override
    void fail(Outcome outcome) {
        complete(RequestResult.withoutResponse(outcome));
    }
}
