package burlarch.router.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Detects that a client closes its connection while its request is being handled and nobody else reads. Bytes
 * of a next request are handed to the connection, which processes them after the response. Its callbacks come
 * on Jetty's threads; guarded by this.
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

    /** Starts to watch; to be called once the request has been read completely. */
    synchronized void start() {
        active = endPoint instanceof AbstractEndPoint && endPoint.tryFillInterested(this);
    }

    /** As {@link #start}, but returns true if the client has already left. */
    synchronized boolean startAndCheck() {
        if (!(endPoint instanceof AbstractEndPoint)) {
            return false;
        }
        return hasDisconnected();
    }

    /** Stops watching; must precede the last write of the response, as the connection reads itself after it. */
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
            disconnected = hasDisconnected();
        }
        if (disconnected) {
            onDisconnect.run();
        }
    }

    private boolean hasDisconnected() {
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
