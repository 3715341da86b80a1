package burlarch.router.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Watcher of one client connection: detects that the client closes it while its request is being handled and nothing
 * else reads from the connection. Bytes of the next request are passed on to the connection, which processes them
 * after the response; from then on the client is not watched. Callbacks run on Jetty's threads; guarded by this.
 *
 * <p>Invariant <em>room for what is read</em>: nothing is read while the connection's buffer holds bytes of a further
 * request, because that buffer does not grow.
 */
final class ClientDisconnectWatcher implements Callback {
    private static final int BUFFER_BYTES = 4096;

    private final EndPoint endPoint;
    private final Runnable onDisconnect;
    private boolean active;

    ClientDisconnectWatcher(EndPoint endPoint, Runnable onDisconnect) {
        this.endPoint = endPoint;
        this.onDisconnect = onDisconnect;
    }

    /** Starts to watch. Must be called after the request has been read completely. */
    synchronized void start() {
        active = endPoint instanceof AbstractEndPoint && !holdsFurtherRequest() && endPoint.tryFillInterested(this);
    }

    /** As {@link #start}, but returns true if the client has already disconnected. */
    synchronized boolean startAndCheckDisconnected() {
        if (!(endPoint instanceof AbstractEndPoint) || holdsFurtherRequest()) {
            return false;
        }
        return readAndCheckDisconnected();
    }

    private boolean holdsFurtherRequest() {
        return endPoint.getConnection() instanceof HttpConnection connection && !connection.isRequestBufferEmpty();
    }

    /** Stops watching. Must precede the last write of the response, after which the connection reads by itself. */
    void stop() {
        synchronized (this) {
            if (!active) {
                return;
            }
            active = false;
        }
        ((AbstractEndPoint) endPoint).getFillInterest().fillable();
    }

    @Override
    public void succeeded() {
        boolean disconnected;
        synchronized (this) {
            if (!active) {
                return;
            }
            active = false;
            disconnected = readAndCheckDisconnected();
        }
        if (disconnected) {
            onDisconnect.run();
        }
    }

    private boolean readAndCheckDisconnected() {
        ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
        try {
            int filled = endPoint.fill(buffer);
            if (filled == 0) {
                active = endPoint.tryFillInterested(this);
            } else if (filled > 0) {
                ((Connection.UpgradeTo) endPoint.getConnection()).onUpgradeTo(buffer);
            }
            return filled < 0;
        } catch (IOException failure) {
            return true;
        }
    }

    @Override
    public void failed(Throwable cause) {
        synchronized (this) {
            if (!active) {
                return;
            }
            active = false;
        }
        onDisconnect.run();
    }

    @Override
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }
}
