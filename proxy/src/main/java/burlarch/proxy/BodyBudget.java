package burlarch.proxy;

/**
 * Memory budget that bodies of one kind share. The first {@link #ORDINARY_BODY_BYTES} bytes of each body and the bytes
 * beyond them are bounded separately, so that a few long or endless bodies do not keep ordinary ones out. Not
 * thread-safe: used on the event loop only.
 */
final class BodyBudget {
    /** Maximum length of a body in bytes according to the protocol; some sites have longer ones. */
    static final int ORDINARY_BODY_BYTES = 64 * 1024;

    /** Maximum length of a body in bytes. */
    static final int MAX_BODY_BYTES = 1 << 20;
    /** Bound on the bytes beyond {@link #ORDINARY_BODY_BYTES} in total: room for twenty of the longest bodies seen. */
    static final int MAX_EXCESS_BYTES = 4 << 20;

    private final long maxOrdinaryBytes;
    private final long maxExcessBytes;
    private long ordinaryBytes;
    private long excessBytes;

    BodyBudget(long maxOrdinaryBytes, long maxExcessBytes) {
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
        long ordinaryIncrease = Math.min(toBytes, ORDINARY_BODY_BYTES) - Math.min(fromBytes, ORDINARY_BODY_BYTES);
        long excessIncrease = excessBytes(toBytes) - excessBytes(fromBytes);
        if (ordinaryIncrease > maxOrdinaryBytes - ordinaryBytes || excessIncrease > maxExcessBytes - excessBytes) {
            return false;
        }
        ordinaryBytes += ordinaryIncrease;
        excessBytes += excessIncrease;
        return true;
    }

    /** Adds a body of this length, whether or not there is room. */
    void take(int bytes) {
        ordinaryBytes += Math.min(bytes, ORDINARY_BODY_BYTES);
        excessBytes += excessBytes(bytes);
    }

    /** Removes a body of this length. */
    void release(int bytes) {
        ordinaryBytes -= Math.min(bytes, ORDINARY_BODY_BYTES);
        excessBytes -= excessBytes(bytes);
    }

    /** Whether there is room for a body of this length. */
    boolean hasRoomFor(int bytes) {
        return Math.min(bytes, ORDINARY_BODY_BYTES) <= maxOrdinaryBytes - ordinaryBytes
                && excessBytes(bytes) <= maxExcessBytes - excessBytes;
    }

    long heldBytes() {
        return ordinaryBytes + excessBytes;
    }

    /** The number of bytes beyond {@link #ORDINARY_BODY_BYTES} in a body of this length. */
    static int excessBytes(int bytes) {
        return Math.max(0, bytes - ORDINARY_BODY_BYTES);
    }
}
