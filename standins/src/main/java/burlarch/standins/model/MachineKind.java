package burlarch.standins.model;

/**
 * What a server of one kind can do.
 *
 * @param speed            work done by a core in a second, in seconds on a standard core
 * @param slots            requests in work at once; beyond the cores they share them
 * @param queue            requests that may wait; beyond, they are turned away
 * @param connections      that it accepts at once
 * @param coldShare        of its capacity right after a start ...
 * @param coldNanos        ... from which it rises evenly over this time
 * @param memoryBytes      of kept objects
 * @param errorShare       of requests that end in an error
 * @param handshakeNanos   work that a new connection costs, on a standard core, and the wait of its first
 *                         request
 * @param idleCloseNanos   after which it closes a connection
 * @param fallMultiple     sent over so many times its present capacity while it is cold ...
 * @param fallNanos        ... for this time, it falls over
 * @param fallenNanos      and is out for this long
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
        double fallMultiple,
        long fallNanos,
        long fallenNanos) {
    /** @return standard cores, when warm */
    public double capacity() {
        return cores * speed;
    }
}
