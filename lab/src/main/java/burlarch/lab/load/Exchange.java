package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** One HTTP request and its response on a connection: a single request, or several reads batched into a multi-get. */
abstract class Exchange {
    final ConnectionPool pool;
    /** Null until the exchange is sent. */
    ClientConnection connection;
    /** Clock time of the last send, in nanoseconds; 0 until then. */
    long sentNanos;
    /** Whether it was sent a second time because a kept-alive connection closed during the first. */
    boolean resent;

    Exchange(ConnectionPool pool) {
        this.pool = pool;
    }

    /** Whether every request that it carries has completed. */
    abstract boolean isComplete();

    /** Whether the response body is needed, rather than only its digest. */
    abstract boolean needsBody();

    abstract ByteBuf encode(RequestEncoder encoder, ByteBufAllocator allocator);

    /** Records the time at which it was handed to a connection. */
    void onSent(long nowNanos) {
        sentNanos = nowNanos;
    }

    /** A complete response was received. */
    abstract void onResponse(ResponseParser parser);

    /** Bytes of another response followed its own. */
    abstract void onExtraResponse();

    /** Completes it without a response. */
    abstract void fail(Outcome outcome);

    /** Removes it from its queue or connection once all its requests have completed. */
    void detach() {
        if (connection == null) {
            pool.remove(this);
        } else {
            connection.detach(this);
        }
    }
}
