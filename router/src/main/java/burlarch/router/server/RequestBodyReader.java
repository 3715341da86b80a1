package burlarch.router.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Non-blocking reader of the complete body of one request, up to a size limit. Runs on Jetty's threads, one call
 * after another.
 */
public final class RequestBodyReader implements Invocable.Task {
    private static final int INITIAL_BUFFER_BYTES = 1024;

    /** Receives the result; exactly one of the methods is called, once. */
    public interface Listener {
        /** Called with the complete body; empty if the request has none. */
        void onBody(ByteBuffer body);

        /** Called if the body exceeds the limit; the rest is not read. */
        void onTooLarge();

        /** Called if the client has disconnected, timed out or violated the protocol. */
        void onFailure(Throwable cause);
    }

    private final Request request;
    private final int maxBytes;
    private final Listener listener;
    private ByteArrayOutputStream received;

    /** Creates a reader that has not started; {@link #run} starts it. */
    public RequestBodyReader(Request request, int maxBytes, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Reads the available bytes and asks Jetty to run it again when there are more. */
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
                listener.onBody(received == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(received.toByteArray()));
                return;
            }
        }
    }

    /** Appends a chunk. Returns false if the size limit is exceeded. */
    private boolean append(ByteBuffer chunk) {
        int length = chunk.remaining();
        if (length == 0) {
            return true;
        }
        if (received == null) {
            received = new ByteArrayOutputStream((int) Math.min(maxBytes, Math.max(INITIAL_BUFFER_BYTES, length)));
        }
        if (length > maxBytes - received.size()) {
            return false;
        }
        byte[] copy = new byte[length];
        chunk.get(copy);
        received.write(copy, 0, length);
        return true;
    }
}
