package burlarch.router.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpMethod;

/**
 * One request on its way to an instance. It may be cancelled at any time and on any thread, also while its
 * connection is being established; guarded by this.
 */
public final class UpstreamCall {
    private final String address;
    private final ByteBuffer[] message;
    private final boolean headMethod;
    private final UpstreamListener listener;
    private UpstreamConnection connection;
    private boolean ended;

    /**
     * A call that has not been sent.
     *
     * @param address IP:PORT of the instance
     * @param message head and body of the request; consumed by the write
     * @param method of the request: a response to HEAD has no body
     */
    public UpstreamCall(String address, ByteBuffer[] message, String method, UpstreamListener listener) {
        this.address = address;
        this.message = message;
        this.headMethod = HttpMethod.HEAD.is(method);
        this.listener = listener;
    }

    String address() {
        return address;
    }

    ByteBuffer[] message() {
        return message;
    }

    /** Whether every byte was handed to the socket. */
    boolean isFullyWritten() {
        for (ByteBuffer buffer : message) {
            if (buffer.hasRemaining()) {
                return false;
            }
        }
        return true;
    }

    /** Whether no byte was handed to the socket; meaningful once its write has ended. */
    boolean isUnwritten() {
        for (ByteBuffer buffer : message) {
            if (buffer.position() > 0) {
                return false;
            }
        }
        return true;
    }

    boolean isHeadMethod() {
        return headMethod;
    }

    UpstreamListener listener() {
        return listener;
    }

    /** A connection starts to write the call; returns false if it was cancelled before. */
    synchronized boolean assignTo(UpstreamConnection assigned) {
        if (ended) {
            return false;
        }
        connection = assigned;
        return true;
    }

    /** Claims the right to end the call; returns true to one caller only. */
    synchronized boolean endOnce() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    /** No connection could be established. */
    void failUnsent(Throwable cause) {
        if (endOnce()) {
            listener.onFailure(SendState.NOT_SENT, cause);
        }
    }

    /**
     * Ends the call without notifying its listener, and closes its connection.
     *
     * @return how much of the request may be on the wire
     */
    public SendState cancel() {
        UpstreamConnection used;
        synchronized (this) {
            ended = true;
            used = connection;
        }
        if (used == null) {
            return SendState.NOT_SENT;
        }
        used.abandon(this);
        return SendState.PARTLY_SENT;
    }

    /** The content received last has been processed: read on. */
    public void proceed() {
        UpstreamConnection used;
        synchronized (this) {
            used = connection;
        }
        if (used != null) {
            used.proceed(this);
        }
    }
}
