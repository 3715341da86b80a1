package burlarch.router.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpMethod;

/**
 * One request to an instance and its response. It may be cancelled at any time and on any thread, also while its
 * connection is being established. Guarded by this.
 */
public final class UpstreamCall {
    private final String address;
    private final ByteBuffer[] message;
    private final boolean headMethod;
    private final RequestConnections requestConnections;
    private final UpstreamListener listener;
    private UpstreamConnection connection;
    private boolean ended;

    /**
     * Creates a call that has not been sent.
     *
     * @param address IP:PORT of the instance
     * @param message head and body of the request; consumed by the write
     * @param method HTTP method of the request; a response to HEAD has no body
     * @param requestConnections connections over which the request was sent already; shared by all calls of the request
     */
    public UpstreamCall(
            String address,
            ByteBuffer[] message,
            String method,
            RequestConnections requestConnections,
            UpstreamListener listener) {
        this.address = address;
        this.message = message;
        this.headMethod = HttpMethod.HEAD.is(method);
        this.requestConnections = requestConnections;
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

    /** Whether no byte was handed to the socket; valid only after the write has ended. */
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

    /** Whether the request was sent over the given connection before. */
    boolean wasSentOver(UpstreamConnection candidate) {
        return requestConnections.contains(candidate);
    }

    /** Assigns the call to the connection that will write it. Returns false if the call has already ended. */
    synchronized boolean assignTo(UpstreamConnection newConnection) {
        if (ended) {
            return false;
        }
        connection = newConnection;
        requestConnections.add(newConnection);
        return true;
    }

    /** Ends the call. Returns true to the first caller only, which notifies the listener. */
    synchronized boolean endOnce() {
        boolean wasActive = !ended;
        ended = true;
        return wasActive;
    }

    /** Ends the call with a failure because no connection could be established: nothing was sent. */
    void failUnsent(Throwable cause) {
        if (endOnce()) {
            listener.onFailure(SendState.NOT_SENT, cause);
        }
    }

    /**
     * Ends the call without notifying its listener, and closes its connection.
     *
     * @return how much of the request may have been sent
     */
    public SendState cancel() {
        UpstreamConnection assignedConnection;
        synchronized (this) {
            ended = true;
            assignedConnection = connection;
        }
        if (assignedConnection == null) {
            return SendState.NOT_SENT;
        }
        assignedConnection.onCancelled(this);
        return SendState.PARTLY_SENT;
    }

    /** Continues to read after the listener has processed the last content. */
    public void proceed() {
        UpstreamConnection assignedConnection;
        synchronized (this) {
            assignedConnection = connection;
        }
        if (assignedConnection != null) {
            assignedConnection.proceed(this);
        }
    }
}
