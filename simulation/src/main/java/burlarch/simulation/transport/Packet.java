package burlarch.simulation.transport;

/**
 * Packet of a connection on the simulated network.
 *
 * @param connectionId identifier of the connection, unique in a simulation
 * @param receiver side of the connection that receives the packet
 * @param sequence sequence number of a message, from 1; for {@link Kind#ACKNOWLEDGEMENT}, the highest number up to
 *     which all messages have arrived; 0 for the other kinds
 * @param body message or frame, for {@link Kind#DATA}; null for the other kinds
 */
public record Packet(Kind kind, long connectionId, Side receiver, long sequence, Object body) {
    /** Packet types. */
    public enum Kind {
        /** Requests a connection. */
        OPEN,
        /** Accepts a connection. */
        OPENED,
        /** Carries a message. */
        DATA,
        /** Acknowledges all messages up to a sequence number. */
        ACKNOWLEDGEMENT,
        /** Reports that the connection does not exist at the sender, or no longer exists. */
        RESET
    }

    /** Sides of a connection. */
    public enum Side {
        /** The side that requested the connection. */
        DIALER,
        /** The side that accepted the connection. */
        LISTENER;

        Side other() {
            return this == DIALER ? LISTENER : DIALER;
        }
    }
}
