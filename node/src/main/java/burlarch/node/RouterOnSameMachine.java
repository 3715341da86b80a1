package burlarch.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * Shutdown coordination of a control process with the router on the same machine. A machine is stopped as a whole, and
 * its router drains for most of the grace period. The control process keeps serving meanwhile, so that the control
 * address of the machine does not disappear and come back while the router still finishes requests.
 */
public final class RouterOnSameMachine {
    /** Part of the grace period that is reserved for the shutdown of the control process itself. */
    private static final long SHUTDOWN_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final InetSocketAddress address;
    private final long maxWaitNanos;

    /** @param settings settings of the control process */
    public RouterOnSameMachine(NodeSettings settings) {
        this(
                NodeAddresses.socket(NodeAddresses.own(settings, NodeRoles.ROUTER)),
                hasOwnPort(settings) ? settings.bounds().graceNanos() - SHUTDOWN_MARGIN_NANOS : 0);
    }

    /** If both roles have the same port, the listener on it is the control process itself. */
    private static boolean hasOwnPort(NodeSettings settings) {
        return !NodeAddresses.own(settings, NodeRoles.ROUTER).equals(NodeAddresses.own(settings, NodeRoles.CONTROLLER));
    }

    RouterOnSameMachine(InetSocketAddress address, long maxWaitNanos) {
        this.address = address;
        this.maxWaitNanos = maxWaitNanos;
    }

    /**
     * Blocks until no router listens on this machine, or until the grace period is almost over. Returns at once if
     * there is no router, and early if the thread is interrupted.
     */
    public void awaitEnd() {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < maxWaitNanos && isListening()) {
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private boolean isListening() {
        try (Socket connection = new Socket()) {
            connection.connect(address, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException notListening) {
            return false;
        }
    }
}
