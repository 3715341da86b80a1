package burlarch.router;

import java.net.InetSocketAddress;

/**
 * Settings of the router's data path.
 *
 * @param front listen address for clients
 * @param readiness listen address for readiness checks of the platform
 * @param graceMillis time between SIGTERM and SIGKILL, in milliseconds
 * @param connectTimeoutMillis maximum time to establish a connection to an instance, in milliseconds
 */
public record RouterServerSettings(
        InetSocketAddress front, InetSocketAddress readiness, long graceMillis, long connectTimeoutMillis) {
    /** Default connect timeout. An attempt that cannot connect in this time has failed without sending anything. */
    public static final long CONNECT_TIMEOUT_MILLIS = 800;

    /** Settings with the default connect timeout. */
    public RouterServerSettings(InetSocketAddress front, InetSocketAddress readiness, long graceMillis) {
        this(front, readiness, graceMillis, CONNECT_TIMEOUT_MILLIS);
    }
}
