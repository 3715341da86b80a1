package burlarch.simulation.transport;

/**
 * A packet of one connection on the simulated network.
 *
 * @param connectionId number of the connection, unique in a simulation
 * @param receiver the side of the connection that it is for
 * @param sequence number of a message, from 1; for {@link Kind#ACKNOWLEDGEMENT} the highest number up to which all came
 * @param body message or frame, for {@link Kind#DATA}; null for the other kinds
 */
public record Packet(Kind kind, long connectionId, Side receiver, long sequence, Object body) {
    /** What a packet is for. */
    public enum Kind {
        /** Requests a connection. */
        OPEN,
        /** Accepts a connection. */
        OPENED,
        /** Carries a message. */
        DATA,
        /** Acknowledges messages. */
        ACKNOWLEDGEMENT,
        /** Says that the sender knows no such connection, or no longer. */
        RESET
    }

    /** The two sides of a connection. */
    public enum Side {
        /** The side that requested the connection. */
        DIALER,
        /** The side that accepted it. */
        LISTENER;

        Side other() {
            return this == DIALER ? LISTENER : DIALER;
        }
    }
}
