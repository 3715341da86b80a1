package burlarch.simulation;

import java.util.Random;

/**
 * Access of a simulated process to its machine and network. Belongs to one incarnation of a process; its sends and
 * timers have no effect after that process has been killed.
 */
public interface NodeContext {
    /** Sends a message, which may be lost, delayed, reordered or duplicated. */
    void send(String address, Object message);

    /**
     * Requests a call of {@link SimulatedNode#onTimer}. A process has one timer: a new request replaces the pending
     * one.
     *
     * @param timeNanos due time on the machine's monotonic clock
     */
    void setTimer(long timeNanos);

    /** Returns the machine's wall clock time in milliseconds; it may step forwards or backwards. */
    long wallClockMillis();

    /** Returns this process's random number generator, which is reproducible from the simulation's seed. */
    Random random();

    /** Returns the incarnation number, drawn at random for each start of the process; never 0. */
    long incarnation();

    /** Returns the machine's name. */
    String name();

    /** Returns the machine's address. */
    String address();
}
