package burlarch.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/** Reads a request's body whole, as it comes, up to a bound. */
final class RequestBodyReader implements Invocable.Task {
    private static final int FIRST_BYTES = 1024;

    /** Told once how it went. */
    interface Taker {
        /** The whole body, empty where there was none. */
        void onBody(ByteBuffer body);

        /** It is longer than allowed; the rest is unread. */
        void onTooLarge();

        /** The client left or broke the protocol. */
        void onBroken(Throwable cause);
    }

    private final Request request;
    private final int mostBytes;
    private final Taker taker;
    private ByteArrayOutputStream bytes;

    RequestBodyReader(Request request, int mostBytes, Taker taker) {
        this.request = request;
        this.mostBytes = mostBytes;
        this.taker = taker;
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Reads what is there and waits for more. */
    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                taker.onBroken(chunk.getFailure());
                return;
            }
            boolean fits = keep(chunk.getByteBuffer());
            boolean last = chunk.isLast();
            chunk.release();
            if (!fits) {
                taker.onTooLarge();
                return;
            }
            if (last) {
                taker.onBody(bytes == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(bytes.toByteArray()));
                return;
            }
        }
    }

    private boolean keep(ByteBuffer part) {
        int length = part.remaining();
        if (length == 0) {
            return true;
        }
        if (bytes == null) {
            bytes = new ByteArrayOutputStream((int) Math.min(mostBytes, Math.max(FIRST_BYTES, length)));
        }
        if (length > mostBytes - bytes.size()) {
            return false;
        }
        byte[] copy = new byte[length];
        part.get(copy);
        bytes.write(copy, 0, length);
        return true;
    }
}
