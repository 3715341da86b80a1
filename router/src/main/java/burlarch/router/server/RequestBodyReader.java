package burlarch.router.server;

import burlarch.node.http.RequestBodyBuffer;
import burlarch.node.http.RequestMemoryBudget;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Non-blocking reader of the complete body of one request, up to a size limit and within the memory budget of all
 * bodies. If the budget has no room for bytes that have arrived, the body is dropped and its rest is read without
 * being stored, up to the size limit again. Runs on Jetty's threads, one call after another; {@link #release} may be
 * called on any thread.
 */
public final class RequestBodyReader implements Invocable.Task {
    /** Receives the result; exactly one of the methods is called, once. */
    public interface Listener {
        /** Called with the complete body, which is valid until {@link RequestBodyReader#release}. */
        void onBody(ByteBuffer body);

        /** Called if the body exceeds the limit; the rest is not read. */
        void onTooLarge();

        /**
         * Called if the budget has no room for the body.
         *
         * @param restDropped completes when the rest of the body has been read; fails if it did not arrive or is too
         *     long
         */
        void onNoRoom(CompletableFuture<Void> restDropped);

        /** Called if the client has disconnected, timed out or violated the protocol. */
        void onFailure(Throwable cause);
    }

    private final Request request;
    private final int maxBytes;
    private final RequestBodyBuffer buffer;
    private final Listener listener;
    /** Null as long as the body is stored. */
    private CompletableFuture<Void> restDropped;

    private long droppedBytes;
    /** Whether nothing is read any more. Written by one run after another, read by the one that started the first. */
    private volatile boolean ended;

    /** Creates a reader that has not started; {@link #run} starts it. */
    public RequestBodyReader(Request request, int maxBytes, RequestMemoryBudget budget, Listener listener) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.buffer = new RequestBodyBuffer(budget, maxBytes, request.getLength());
        this.listener = listener;
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Drops the body and releases its memory; what still arrives is not stored. */
    public void release() {
        buffer.release();
    }

    /** Whether the body has arrived, has failed or is too long, so that nothing is read any more. */
    public boolean hasEnded() {
        return ended;
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
                ended = true;
                onFailure(chunk.getFailure());
                return;
            }
            boolean last = chunk.isLast();
            boolean fits = restDropped == null ? store(chunk.getByteBuffer()) : drop(chunk.getByteBuffer());
            chunk.release();
            if (!fits) {
                ended = true;
                onTooLong();
                return;
            }
            if (last) {
                ended = true;
                onLast();
                return;
            }
        }
    }

    /** Stores the bytes of a chunk if there is room for them. Returns false if the size limit is exceeded. */
    private boolean store(ByteBuffer bytes) {
        RequestBodyBuffer.AppendResult result = buffer.append(bytes);
        if (result == RequestBodyBuffer.AppendResult.NO_ROOM) {
            restDropped = new CompletableFuture<>();
            buffer.release();
            listener.onNoRoom(restDropped);
        }
        return result != RequestBodyBuffer.AppendResult.TOO_LONG;
    }

    /** Counts the bytes of a chunk that is not stored. Returns false if the size limit is exceeded. */
    private boolean drop(ByteBuffer bytes) {
        droppedBytes += bytes.remaining();
        return droppedBytes <= maxBytes;
    }

    private void onTooLong() {
        if (restDropped == null) {
            listener.onTooLarge();
        } else {
            restDropped.completeExceptionally(new IOException("the body is longer than " + maxBytes + " bytes"));
        }
    }

    private void onLast() {
        if (restDropped == null) {
            listener.onBody(buffer.content());
        } else {
            restDropped.complete(null);
        }
    }

    private void onFailure(Throwable cause) {
        if (restDropped == null) {
            listener.onFailure(cause);
        } else {
            restDropped.completeExceptionally(cause);
        }
    }
}
