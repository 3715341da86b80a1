package burlarch.router;

import burlarch.router.lifecycle.DrainSchedule;
import java.net.InetSocketAddress;

/**
 * Settings of the router's data path.
 *
 * @param front listen address for clients
 * @param readiness listen address for readiness checks of the platform
 * @param drainSchedule schedule of the graceful shutdown
 * @param connectTimeoutMillis maximum time to establish a connection to an instance, in milliseconds
 */
public record RouterServerSettings(
        InetSocketAddress front, InetSocketAddress readiness, DrainSchedule drainSchedule, long connectTimeoutMillis) {
    /** Default connect timeout. An attempt that cannot connect in this time has failed without sending anything. */
    public static final long CONNECT_TIMEOUT_MILLIS = 800;

    /** Settings with the default connect timeout. */
    public RouterServerSettings(InetSocketAddress front, InetSocketAddress readiness, DrainSchedule drainSchedule) {
        this(front, readiness, drainSchedule, CONNECT_TIMEOUT_MILLIS);
    }
}
