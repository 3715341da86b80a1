package burlarch.router.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Reads the complete body of one request without blocking, up to a limit. Runs on Jetty's threads, one call
 * after another.
 */
public final class RequestBodyReader implements Invocable.Task {
    private static final int INITIAL_BYTES = 1024;

    /** Receives the result; exactly one method is called, once. */
    public interface Listener {
        /** The complete body; empty if the request has none. */
        void onBody(ByteBuffer body);

        /** The body exceeds the limit; the rest is not read. */
        void onTooLarge();

        /** The client has disconnected, sent nothing in time, or violated the protocol. */
        void onFailure(Throwable cause);
    }

    private final Request request;
    private final int maxBytes;
    private final Listener listener;
    private ByteArrayOutputStream bytes;

    /** A reader that has not started; {@link #run} starts it. */
    public RequestBodyReader(Request request, int maxBytes, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Reads what is available and asks to be run again when there is more. */
    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                listener.onFailure(chunk.getFailure());
                return;
            }
            boolean fits = append(chunk.getByteBuffer());
            boolean last = chunk.isLast();
            chunk.release();
            if (!fits) {
                listener.onTooLarge();
                return;
            }
            if (last) {
                listener.onBody(bytes == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(bytes.toByteArray()));
                return;
            }
        }
    }

    /** Returns false if the limit is exceeded. */
    private boolean append(ByteBuffer chunk) {
        int length = chunk.remaining();
        if (length == 0) {
            return true;
        }
        if (bytes == null) {
            bytes = new ByteArrayOutputStream((int) Math.min(maxBytes, Math.max(INITIAL_BYTES, length)));
        }
        if (length > maxBytes - bytes.size()) {
            return false;
        }
        byte[] copy = new byte[length];
        chunk.get(copy);
        bytes.write(copy, 0, length);
        return true;
    }
}
