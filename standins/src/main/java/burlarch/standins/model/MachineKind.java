package burlarch.standins.model;

/**
 * The performance characteristics of a kind of server.
 *
 * @param name                the kind's name
 * @param cores               number of cores
 * @param speed               speed of a core relative to a standard core
 * @param slots               requests processed concurrently; more slots than cores share the cores
 * @param queue               requests that may wait; further ones are rejected
 * @param connections         maximum number of open connections
 * @param coldShare           fraction of the capacity available right after a start
 * @param coldNanos           time over which the capacity then rises linearly to the full one
 * @param memoryBytes         size of the object cache
 * @param errorShare          fraction of requests that end with an error
 * @param handshakeNanos      work of a new connection, on a standard core, and delay of its first request
 * @param idleCloseNanos      idle time after which the server closes a connection
 * @param overloadMultiple    a cold server fails if it is sent more than this multiple of its present capacity ...
 * @param overloadWindowNanos ... within a window of this length
 * @param failureNanos        how long the server then resets all requests
 */
public record MachineKind(
        String name,
        int cores,
        double speed,
        int slots,
        int queue,
        int connections,
        double coldShare,
        long coldNanos,
        long memoryBytes,
        double errorShare,
        long handshakeNanos,
        long idleCloseNanos,
        double overloadMultiple,
        long overloadWindowNanos,
        long failureNanos) {
    /** Returns the capacity when warm, in standard cores. */
    public double capacity() {
        return cores * speed;
    }
}
