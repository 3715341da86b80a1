package burlarch.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * The router that shares a machine with a control process. A machine is stopped as a whole, and its router drains for
 * most of the grace period; meanwhile the control process goes on serving, so that the machine's control address does
 * not disappear and come back while requests of the machine are still being finished.
 */
public final class RouterOnSameMachine {
    /** What is left of the grace period for the control process's own end. */
    private static final long END_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final InetSocketAddress address;
    private final long longestWaitNanos;

    /** @param settings of the control process */
    public RouterOnSameMachine(NodeSettings settings) {
        this(
                NodeAddresses.socket(NodeAddresses.own(settings, NodeRoles.ROUTER)),
                mayExist(settings) ? settings.bounds().graceNanos() - END_MARGIN_NANOS : 0);
    }

    /** Where both roles would have the same port, the listener there is the control process itself. */
    private static boolean mayExist(NodeSettings settings) {
        return !NodeAddresses.own(settings, NodeRoles.ROUTER).equals(NodeAddresses.own(settings, NodeRoles.CONTROLLER));
    }

    RouterOnSameMachine(InetSocketAddress address, long longestWaitNanos) {
        this.address = address;
        this.longestWaitNanos = longestWaitNanos;
    }

    /**
     * Waits until no router listens on this machine, or until the grace period is almost over. Returns at once if there
     * is no router. To be called on a thread that may block.
     */
    public void awaitEnd() {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < longestWaitNanos && isListening()) {
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
