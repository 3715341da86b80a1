package burlarch.router;

import java.net.InetSocketAddress;

/**
 * Settings of the router's data path.
 *
 * @param front address for clients
 * @param readiness address for readiness checks of the platform
 * @param graceMillis time between SIGTERM and SIGKILL
 * @param connectTimeoutMillis maximum time until a connection to an instance is established
 */
public record RouterServerSettings(
        InetSocketAddress front, InetSocketAddress readiness, long graceMillis, long connectTimeoutMillis) {
    /** An attempt at an instance that takes longer to accept has failed; nothing was sent to it by then. */
    public static final long CONNECT_TIMEOUT_MILLIS = 800;

    /** Settings with the default connect timeout. */
    public RouterServerSettings(InetSocketAddress front, InetSocketAddress readiness, long graceMillis) {
        this(front, readiness, graceMillis, CONNECT_TIMEOUT_MILLIS);
    }
}
