package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestBodyBudget;
import burlarch.node.http.RequestBodyBuffer;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Non-blocking reader of one request body, within the memory budget that all calls share. Jetty runs it again whenever
 * more of the body has arrived, one run at a time.
 */
final class RequestBodyReader implements Runnable {
    /** Listener that is notified once, on the thread that read the last bytes. */
    interface Listener {
        /** Called with the complete body; its bytes stay reserved until {@link RequestBodyReader#release}. */
        void onBody(byte[] body);

        /** Called if the body is too long, exceeds the budget or did not arrive completely; the rest is unread. */
        void onFailure(ControlException failure);
    }

    private final Request request;
    private final int maxBytes;
    private final RequestBodyBuffer buffer;
    private final Listener listener;

    /** Creates a reader, which is started by {@link #run}. */
    RequestBodyReader(Request request, int maxBytes, RequestBodyBudget budget, Listener listener) {
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
            if (readAvailable()) {
                listener.onBody(buffer.toByteArray());
            } else {
                request.demand(this);
            }
        } catch (ControlException failure) {
            listener.onFailure(failure);
        }
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
