package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.node.http.RequestBodyBudget;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Collects the body of one request without blocking, within the budget. */
final class RequestBodyReader implements Runnable {
    private static final int INITIAL_BYTES = 4 << 10;
    private static final int GROWTH = 2;

    private final Request request;
    private final int maxBytes;
    private final RequestBodyBudget budget;
    private final Consumer<byte[]> onComplete;
    private final Consumer<Throwable> onFailure;
    private byte[] bytes = new byte[0];
    private int length;

    /**
     * A reader that has not begun.
     *
     * @param longest most bytes that are taken
     * @param whenRead gets the body, which stays within the budget until {@link #release}
     * @param whenFailed gets a {@link ControlException}, or the failure of a connection that broke
     */
    RequestBodyReader(
            Request request,
            int longest,
            RequestBodyBudget budget,
            Consumer<byte[]> whenRead,
            Consumer<Throwable> whenFailed) {
        this.request = request;
        this.maxBytes = longest;
        this.budget = budget;
        this.onComplete = whenRead;
        this.onFailure = whenFailed;
    }

    /** Reads what is there and asks to be run again when there is more. */
    @Override
    public void run() {
        try {
            if (request.getLength() > maxBytes) {
                throw new ControlException(ErrorKind.TOO_LARGE);
            }
            if (readAvailable()) {
                onComplete.accept(length == bytes.length ? bytes : Arrays.copyOf(bytes, length));
            } else {
                request.demand(this);
            }
        } catch (ControlException failure) {
            onFailure.accept(failure);
        }
    }

    /** Gives the bytes back to the budget. To be called once, after which nothing is read any more. */
    void release() {
        budget.release(bytes.length);
        bytes = new byte[0];
        length = 0;
    }

    private boolean readAvailable() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                return false;
            }
            if (Content.Chunk.isFailure(chunk)) {
                // No wrong body: its sender may bring the same call whole. The server tells of a wrong
                // chunk in the same way.
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
        int more = chunk.remaining();
        if (more > maxBytes - length) {
            throw new ControlException(ErrorKind.TOO_LARGE);
        }
        if (more > bytes.length - length) {
            grow(length + more);
        }
        chunk.get(bytes, length, more);
        length += more;
    }

    private void grow(int least) {
        long declared = request.getLength();
        long wanted = Math.max(Math.max(least, INITIAL_BYTES), (long) bytes.length * GROWTH);
        int size = (int) Math.min(wanted, declared >= least ? declared : maxBytes);
        if (!budget.tryReserve(size - bytes.length)) {
            throw new ControlException(ErrorKind.OVERLOADED);
        }
        bytes = Arrays.copyOf(bytes, size);
    }
}
