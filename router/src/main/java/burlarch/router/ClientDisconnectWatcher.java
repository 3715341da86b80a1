package burlarch.router;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * Notices that a client closes its connection while its request is being handled, when nobody else reads.
 * Bytes of a next request are handed to the connection, which takes them up after the answer.
 */
final class ClientDisconnectWatcher implements Callback {
    private static final int BYTES = 4096;

    private final EndPoint endPoint;
    private final Runnable onGone;
    private boolean active;

    ClientDisconnectWatcher(EndPoint endPoint, Runnable onGone) {
        this.endPoint = endPoint;
        this.onGone = onGone;
    }

    /** Begins to watch; call it once the request is read whole. */
    synchronized void start() {
        active = endPoint instanceof AbstractEndPoint && endPoint.tryFillInterested(this);
    }

    /** As {@link #start}, but tells at once, by returning true, that the client has already left. */
    synchronized boolean startAfterLook() {
        if (!(endPoint instanceof AbstractEndPoint)) {
            return false;
        }
        return hasLeft();
    }

    /** Stops it; must come before the answer's last write, as the connection then reads itself. */
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
        boolean gone;
        synchronized (this) {
            if (!active) {
                return;
            }
            active = false;
            gone = hasLeft();
        }
        if (gone) {
            onGone.run();
        }
    }

    private boolean hasLeft() {
        ByteBuffer buffer = BufferUtil.allocate(BYTES);
        try {
            int filled = endPoint.fill(buffer);
            if (filled == 0) {
                active = endPoint.tryFillInterested(this);
            } else if (filled > 0) {
                ((Connection.UpgradeTo) endPoint.getConnection()).onUpgradeTo(buffer);
            }
            return filled < 0;
        } catch (java.io.IOException failure) {
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
        onGone.run();
    }

    @Override
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }
}
