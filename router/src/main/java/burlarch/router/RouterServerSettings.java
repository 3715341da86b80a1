package burlarch.router;

import java.net.InetSocketAddress;

/**
 * What the router's data path is started with.
 *
 * @param front address for clients
 * @param readiness address for the platform's probes
 * @param graceMillis time between SIGTERM and SIGKILL
 * @param connectTimeoutMillis longest time until a connection to a server is up
 */
public record RouterServerSettings(
        InetSocketAddress front, InetSocketAddress readiness, long graceMillis, long connectTimeoutMillis) {
    /** A server that takes longer to accept is given up; nothing was sent to it by then. */
    public static final long CONNECT_TIMEOUT_MILLIS = 800;

    /** Settings with the usual connect time-out. */
    public RouterServerSettings(InetSocketAddress front, InetSocketAddress readiness, long graceMillis) {
        this(front, readiness, graceMillis, CONNECT_TIMEOUT_MILLIS);
    }
}
