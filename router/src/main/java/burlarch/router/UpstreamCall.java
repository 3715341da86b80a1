package burlarch.router;

import java.nio.ByteBuffer;

/** One request on its way to a server. Can be cancelled at any time, also while the connection comes up. */
final class UpstreamCall {
    private final String address;
    private final ByteBuffer[] message;
    private final boolean headMethod;
    private final UpstreamListener listener;
    private UpstreamConnection connection;
    private boolean over;

    UpstreamCall(String address, ByteBuffer[] message, boolean headMethod, UpstreamListener listener) {
        this.address = address;
        this.message = message;
        this.headMethod = headMethod;
        this.listener = listener;
    }

    String address() {
        return address;
    }

    ByteBuffer[] message() {
        return message;
    }

    /** Whether each byte was handed to the socket. */
    boolean isDrained() {
        for (ByteBuffer part : message) {
            if (part.hasRemaining()) {
                return false;
            }
        }
        return true;
    }

    /** Whether no byte was handed to the socket; to be asked once the write of it has ended. */
    boolean isUntouched() {
        for (ByteBuffer part : message) {
            if (part.position() > 0) {
                return false;
            }
        }
        return true;
    }

    boolean headMethod() {
        return headMethod;
    }

    UpstreamListener listener() {
        return listener;
    }

    /** A connection begins to write it; false where it was cancelled before. */
    synchronized boolean begin(UpstreamConnection taker) {
        if (over) {
            return false;
        }
        connection = taker;
        return true;
    }

    /** Claims the right to end it: true for one caller only. */
    synchronized boolean end() {
        boolean first = !over;
        over = true;
        return first;
    }

    /** No connection came up. */
    void failUnsent(Throwable cause) {
        if (end()) {
            listener.onFailure(SendState.NOT_SENT, cause);
        }
    }

    /** Ends it without a word to the listener; the connection closes. Returns how much of it may be out. */
    SendState cancel() {
        UpstreamConnection used;
        synchronized (this) {
            over = true;
            used = connection;
        }
        if (used == null) {
            return SendState.NOT_SENT;
        }
        used.abandon(this);
        return SendState.PARTLY_SENT;
    }

    /** The content given last is done with: read on. */
    void proceed() {
        UpstreamConnection used;
        synchronized (this) {
            used = connection;
        }
        if (used != null) {
            used.proceed(this);
        }
    }
}
