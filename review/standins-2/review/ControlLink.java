package review;

/**
 * The network between the controllers and one server. While it is cut, nothing passes; requests of clients are not
 * affected. What was written to a connection that was up before the cut is sent again by TCP at growing intervals, also
 * after its sender has closed the connection, and so arrives with the first of these sends after the cut. A connection
 * cannot be opened during the cut.
 */
final class ControlLink {
    /** TCP sends unacknowledged bytes again after this time, then after twice as long, and so on. */
    private static final long FIRST_RETRANSMISSION_MILLIS = 200;

    private static final long NEVER_CUT = Long.MIN_VALUE;

    private final EventRecord record;
    private boolean hasBeenCut;
    private long cutAtNanos = NEVER_CUT;
    private long healsAtNanos = NEVER_CUT;

    ControlLink(EventRecord record) {
        this.record = record;
    }

    /** Cuts the link for some time. */
    synchronized void cut(long durationMillis) {
        hasBeenCut = true;
        cutAtNanos = System.nanoTime();
        healsAtNanos = cutAtNanos + durationMillis * 1_000_000;
    }

    /** Whether the link is cut now. */
    synchronized boolean isCut() {
        return hasBeenCut && System.nanoTime() - healsAtNanos < 0;
    }

    /**
     * Passes on a call that a controller has just sent. Bytes that the cut has held up are lost if their sender resets
     * the connection meanwhile.
     *
     * @return whether it arrives; returns at the time of its arrival
     */
    boolean deliver(ServerStandIn.Connection connection) {
        if (!isCut()) {
            return true;
        }
        if (!connection.isKept()) {
            pause(1000);
            return false;
        }
        long heldMillis = millisUntilRetransmission();
        record.add("a call of a controller is held up by the cut for %d ms", heldMillis);
        pause(heldMillis);
        boolean lost = connection.isReset();
        record.add("a call of a controller %s", lost ? "is lost by a reset" : "arrives late");
        return !lost;
    }

    /** Returns the time from now to the first send of the bytes, again by TCP, after the end of the cut. */
    private synchronized long millisUntilRetransmission() {
        long cutLeftMillis = (healsAtNanos - System.nanoTime()) / 1_000_000;
        long interval = FIRST_RETRANSMISSION_MILLIS;
        long elapsed = interval;
        while (elapsed <= cutLeftMillis) {
            interval *= 2;
            elapsed += interval;
        }
        return elapsed;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
