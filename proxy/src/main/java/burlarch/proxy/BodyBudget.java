package burlarch.proxy;

/**
 * Memory budget that bodies of one kind, or the request heads of all connections, share. The first bytes of each, up to
 * the size of an ordinary one, and the bytes beyond them are bounded separately, so that a few large or endless ones do
 * not keep ordinary ones out. Not thread-safe: used on the event loop only.
 */
final class BodyBudget {
    /** Maximum length of a body in bytes according to the protocol; some sites have longer ones. */
    static final int ORDINARY_BODY_BYTES = 64 * 1024;

    /** Maximum length of a body in bytes. */
    static final int MAX_BODY_BYTES = 1 << 20;
    /** Bound on the bytes beyond {@link #ORDINARY_BODY_BYTES} in total: room for twenty of the longest bodies seen. */
    static final int MAX_EXCESS_BYTES = 4 << 20;

    /** How many bytes of each body or head count as ordinary. */
    private final int ordinaryBytesEach;

    private final long maxOrdinaryBytes;
    private final long maxExcessBytes;
    private long ordinaryBytes;
    private long excessBytes;

    /** A budget for bodies, of which the first {@link #ORDINARY_BODY_BYTES} bytes count as ordinary. */
    BodyBudget(long maxOrdinaryBytes, long maxExcessBytes) {
        this(ORDINARY_BODY_BYTES, maxOrdinaryBytes, maxExcessBytes);
    }

    BodyBudget(int ordinaryBytesEach, long maxOrdinaryBytes, long maxExcessBytes) {
        this.ordinaryBytesEach = ordinaryBytesEach;
        this.maxOrdinaryBytes = maxOrdinaryBytes;
        this.maxExcessBytes = maxExcessBytes;
    }

    /**
     * A budget that bounds only the bytes beyond {@link #ORDINARY_BODY_BYTES} of each body, for bodies whose number is
     * bounded elsewhere.
     */
    static BodyBudget boundingExcessOnly() {
        return new BodyBudget(Long.MAX_VALUE, MAX_EXCESS_BYTES);
    }

    /**
     * Grows the share of one body if the budget has room for the growth.
     *
     * @return whether there was room
     */
    boolean grow(int fromBytes, int toBytes) {
        long ordinaryIncrease = ordinaryBytes(toBytes) - ordinaryBytes(fromBytes);
        long excessIncrease = excessBytes(toBytes, ordinaryBytesEach) - excessBytes(fromBytes, ordinaryBytesEach);
        if (ordinaryIncrease > maxOrdinaryBytes - ordinaryBytes || excessIncrease > maxExcessBytes - excessBytes) {
            return false;
        }
        ordinaryBytes += ordinaryIncrease;
        excessBytes += excessIncrease;
        return true;
    }

    /** Adds a body of this length, whether or not there is room. */
    void take(int bytes) {
        ordinaryBytes += ordinaryBytes(bytes);
        excessBytes += excessBytes(bytes, ordinaryBytesEach);
    }

    /** Reduces the share of one body or head. */
    void shrink(int fromBytes, int toBytes) {
        release(fromBytes);
        take(toBytes);
    }

    /** Removes a body of this length. */
    void release(int bytes) {
        ordinaryBytes -= ordinaryBytes(bytes);
        excessBytes -= excessBytes(bytes, ordinaryBytesEach);
    }

    /** Whether there is room for a body of this length. */
    boolean hasRoomFor(int bytes) {
        return ordinaryBytes(bytes) <= maxOrdinaryBytes - ordinaryBytes
                && excessBytes(bytes, ordinaryBytesEach) <= maxExcessBytes - excessBytes;
    }

    long heldBytes() {
        return ordinaryBytes + excessBytes;
    }

    /** The number of bytes beyond {@link #ORDINARY_BODY_BYTES} in a body of this length. */
    static int excessBytes(int bytes) {
        return excessBytes(bytes, ORDINARY_BODY_BYTES);
    }

    private static int excessBytes(int bytes, int ordinaryBytesEach) {
        return Math.max(0, bytes - ordinaryBytesEach);
    }

    private int ordinaryBytes(int bytes) {
        return Math.min(bytes, ordinaryBytesEach);
    }
}
