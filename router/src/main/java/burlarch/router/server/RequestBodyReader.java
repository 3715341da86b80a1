package burlarch.router.server;

import burlarch.node.http.RequestBodyBudget;
import burlarch.node.http.RequestBodyBuffer;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Non-blocking reader of the complete body of one request, up to a size limit and within the memory budget of all
 * bodies. If the budget has no room for bytes that have arrived, the body is dropped and its rest is read without being
 * stored. Runs on Jetty's threads, one call after another; {@link #release} may be called on any thread.
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
         * @param restDropped completes when the rest of the body has been read; fails if it did not arrive
         */
        void onNoRoom(CompletableFuture<Void> restDropped);

        /** Called if the client has disconnected, timed out or violated the protocol. */
        void onFailure(Throwable cause);
    }

    private final Request request;
    private final RequestBodyBuffer buffer;
    private final Listener listener;
    /** Null as long as the body is stored. */
    private CompletableFuture<Void> restDropped;

    /** Creates a reader that has not started; {@link #run} starts it. */
    public RequestBodyReader(Request request, int maxBytes, RequestBodyBudget budget, Listener listener) {
        this.request = request;
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
                onFailure(chunk.getFailure());
                return;
            }
            boolean last = chunk.isLast();
            boolean tooLong = !store(chunk);
            if (tooLong) {
                listener.onTooLarge();
                return;
            }
            if (last) {
                onLast();
                return;
            }
        }
    }

    /** Stores or drops the bytes of a chunk and releases it. Returns false if the size limit is exceeded. */
    private boolean store(Content.Chunk chunk) {
        RequestBodyBuffer.AppendResult result =
                restDropped == null ? buffer.append(chunk.getByteBuffer()) : RequestBodyBuffer.AppendResult.APPENDED;
        chunk.release();
        if (result == RequestBodyBuffer.AppendResult.NO_ROOM) {
            restDropped = new CompletableFuture<>();
            buffer.release();
            listener.onNoRoom(restDropped);
        }
        return result != RequestBodyBuffer.AppendResult.TOO_LONG;
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
