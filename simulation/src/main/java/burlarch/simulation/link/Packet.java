package burlarch.simulation.link;

/**
 * What goes over the network for one connection.
 *
 * @param connectionId number of the connection, unique in a simulation
 * @param toDialer whether it is for the side that asked for the connection
 * @param sequence of a message, from 1; for {@link Kind#ACKNOWLEDGEMENT} the highest one that came without gap
 * @param body message or frame, for {@link Kind#DATA}
 */
public record Packet(Kind kind, long connectionId, boolean toDialer, long sequence, Object body) {
    /** What a packet is for. */
    public enum Kind {
        OPEN,
        OPENED,
        DATA,
        ACKNOWLEDGEMENT,
        RESET
    }
}
