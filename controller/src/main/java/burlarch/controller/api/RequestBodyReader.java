package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestBodyBudget;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Non-blocking reader of one request body, within the memory budget that all calls share. Jetty runs it again whenever
 * more of the body has arrived, one run at a time.
 */
final class RequestBodyReader implements Runnable {
    private static final int INITIAL_BYTES = 4 << 10;
    private static final int GROWTH_FACTOR = 2;

    /** Listener that is notified once, on the thread that read the last bytes. */
    interface Listener {
        /** Called with the complete body; its bytes stay reserved until {@link RequestBodyReader#release}. */
        void onBody(byte[] body);

        /** Called if the body is too long, exceeds the budget or did not arrive completely; the rest is unread. */
        void onFailure(ControlException failure);
    }

    private final Request request;
    private final int maxBytes;
    private final RequestBodyBudget budget;
    private final Listener listener;
    private byte[] bytes = new byte[0];
    private int length;

    /** Creates a reader, which is started by {@link #run}. */
    RequestBodyReader(Request request, int maxBytes, RequestBodyBudget budget, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.budget = budget;
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
                listener.onBody(length == bytes.length ? bytes : Arrays.copyOf(bytes, length));
            } else {
                request.demand(this);
            }
        } catch (ControlException failure) {
            listener.onFailure(failure);
        }
    }

    /** Releases the reserved bytes. Must be called once, after which nothing is read. */
    void release() {
        budget.release(bytes.length);
        bytes = new byte[0];
        length = 0;
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
        int added = chunk.remaining();
        if (added > maxBytes - length) {
            throw new ControlException(ErrorKind.TOO_LARGE);
        }
        if (added > bytes.length - length) {
            grow(length + added);
        }
        chunk.get(bytes, length, added);
        length += added;
    }

    private void grow(int requiredBytes) {
        long declaredBytes = request.getLength();
        long wantedBytes = Math.max(Math.max(requiredBytes, INITIAL_BYTES), (long) bytes.length * GROWTH_FACTOR);
        int size = (int) Math.min(wantedBytes, declaredBytes >= requiredBytes ? declaredBytes : maxBytes);
        if (!budget.tryReserve(size - bytes.length)) {
            throw new ControlException(ErrorKind.OVERLOADED);
        }
        bytes = Arrays.copyOf(bytes, size);
    }
}
