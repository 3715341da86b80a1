package burlarch.simulation;

import java.util.Random;

/** What a process may do to its world. Calls of a process that has ended have no effect. */
public interface NodeContext {
    /** Sends a message that may be lost, late or doubled. */
    void send(String address, Object message);

    /**
     * Asks for {@link SimulatedNode#onTimer} at this time of the own steady clock, in place of any earlier
     * wish.
     */
    void setTimer(long time);

    /** The machine's time of day in milliseconds, which may jump. */
    long wallClockMillis();

    /** Chance that belongs to this process and repeats with the simulation's seed. */
    Random random();

    /** A number that no other start of a process has; never 0. */
    long incarnation();

    /** The machine's name. */
    String name();

    /** The machine's address. */
    String address();
}
