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
 * @param maxClientConnections maximum number of client connections; further ones are closed at once
 */
public record RouterServerSettings(
        InetSocketAddress front,
        InetSocketAddress readiness,
        DrainSchedule drainSchedule,
        long connectTimeoutMillis,
        int maxClientConnections) {
    /** Default connect timeout. An attempt that cannot connect in this time has failed without sending anything. */
    public static final long CONNECT_TIMEOUT_MILLIS = 800;

    private static final int MAX_CLIENT_CONNECTIONS = 2500;
    /** Descriptors of the virtual machine's files, the listeners, the readiness checks and the fleet's connections. */
    private static final int RESERVED_DESCRIPTORS = 100;
    /** Share of the other descriptors that clients may take; the rest is for connections to instances. */
    private static final double CLIENT_SHARE = 0.625;

    /** Settings with the default connect timeout and the largest number of client connections. */
    public RouterServerSettings(InetSocketAddress front, InetSocketAddress readiness, DrainSchedule drainSchedule) {
        this(front, readiness, drainSchedule, CONNECT_TIMEOUT_MILLIS);
    }

    /** Settings with the largest number of client connections. */
    public RouterServerSettings(
            InetSocketAddress front,
            InetSocketAddress readiness,
            DrainSchedule drainSchedule,
            long connectTimeoutMillis) {
        this(front, readiness, drainSchedule, connectTimeoutMillis, MAX_CLIENT_CONNECTIONS);
    }

    /** Returns the largest number of client connections of a process that may open so many descriptors. */
    public static int maxClientConnections(int maxDescriptors) {
        int shared = Math.max(1, maxDescriptors - RESERVED_DESCRIPTORS);
        return Math.max(1, Math.min(MAX_CLIENT_CONNECTIONS, (int) (shared * CLIENT_SHARE)));
    }
}
