package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestBodyBuffer;
import burlarch.node.http.RequestMemoryBudget;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Non-blocking reader of one request body, within the memory budget that all calls share. Jetty runs it again whenever
 * more of the body has arrived, one run at a time. A body that is not complete in time fails, however steadily it
 * arrives.
 */
final class RequestBodyReader implements Runnable {
    /** Listener that is notified once, on the thread that read the last bytes. */
    interface Listener {
        /** Called with the complete body; its bytes stay reserved until {@link RequestBodyReader#release}. */
        void onBody(byte[] body);

        /** Called if the body is too long, exceeds the budget or did not arrive completely; the rest is unread. */
        void onFailure(ControlException failure);
    }

    /** Long enough for the longest body at a tenth of the slowest link; callers wait for a second at least. */
    private static final long MAX_BODY_MILLIS = TimeUnit.SECONDS.toMillis(20);

    private final Request request;
    private final int maxBytes;
    private final RequestBodyBuffer buffer;
    private final Listener listener;
    /** Null unless the body does not arrive at once. */
    private Scheduler.Task timeout;

    /** Whether the listener has been notified. Guarded by this. */
    private boolean ended;

    /** Creates a reader, which is started by {@link #run}. */
    RequestBodyReader(Request request, int maxBytes, RequestMemoryBudget budget, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.buffer = new RequestBodyBuffer(budget, maxBytes, request.getLength());
        this.listener = listener;
    }

    /** Reads the available bytes, and requests to be run again when there are more. */
    @Override
    public void run() {
        try {
            if (request.getLength() > maxBytes) {
                throw new ControlException(ErrorKind.TOO_LARGE);
            }
            if (!readAvailable()) {
                awaitMore();
            } else if (endOnce()) {
                listener.onBody(buffer.toByteArray());
            }
        } catch (ControlException failure) {
            fail(failure);
        }
    }

    private void awaitMore() {
        synchronized (this) {
            if (ended) {
                return;
            }
            if (timeout == null) {
                timeout = request.getComponents()
                        .getScheduler()
                        .schedule(
                                () -> fail(new ControlException(ErrorKind.BROKEN_OFF)),
                                MAX_BODY_MILLIS,
                                TimeUnit.MILLISECONDS);
            }
        }
        request.demand(this);
    }

    private void fail(ControlException failure) {
        if (endOnce()) {
            listener.onFailure(failure);
        }
    }

    private synchronized boolean endOnce() {
        boolean isFirst = !ended;
        ended = true;
        if (timeout != null) {
            timeout.cancel();
        }
        return isFirst;
    }

    /** Releases the reserved bytes, after which nothing is read. */
    void release() {
        buffer.release();
    }

    /** Reads the available bytes. Returns whether the body is complete. */
    private boolean readAvailable() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                return false;
            }
            if (Content.Chunk.isFailure(chunk)) {
                // Retryable, because the sender may send the same body completely. Jetty reports a malformed chunk
                // in the same way as a broken connection.
                throw new ControlException(ErrorKind.BROKEN_OFF);
            }
            boolean last = chunk.isLast();
            try {
                append(chunk.getByteBuffer());
            } finally {
                chunk.release();
            }
            if (last) {
                return true;
            }
        }
    }

    private void append(ByteBuffer chunk) {
        switch (buffer.append(chunk)) {
            case APPENDED -> {}
            case TOO_LONG -> throw new ControlException(ErrorKind.TOO_LARGE);
            case NO_ROOM -> throw new ControlException(ErrorKind.OVERLOADED);
        }
    }
}
