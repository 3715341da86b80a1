package burlarch.proxy;

/**
 * What all bodies of a kind hold at once. The first {@link #ORDINARY} bytes of a body and what is beyond have
 * bounds of their own: a few long bodies, or ones that never end, must not keep ordinary ones out.
 */
final class BodyBudget {
    /** A body's most bytes by the protocol; some sites have longer ones. */
    static final int ORDINARY = 64 * 1024;

    static final int LARGEST = 1 << 20;
    /** Twenty of the longest that were seen. */
    static final int BEYOND_MOST = 4 << 20;

    private final long ordinaryMost;
    private final long beyondMost;
    private long ordinary;
    private long beyond;

    BodyBudget(long ordinaryMost, long beyondMost) {
        this.ordinaryMost = ordinaryMost;
        this.beyondMost = beyondMost;
    }

    /** For bodies whose number is bounded elsewhere. */
    static BodyBudget ofLongOnes() {
        return new BodyBudget(Long.MAX_VALUE, BEYOND_MOST);
    }

    /** @return whether a body that holds so many bytes may grow to so many more; only then it is counted */
    boolean grow(int fromBytes, int toBytes) {
        long ordinaryMore = Math.min(toBytes, ORDINARY) - Math.min(fromBytes, ORDINARY);
        long beyondMore = beyond(toBytes) - beyond(fromBytes);
        if (ordinaryMore > ordinaryMost - ordinary || beyondMore > beyondMost - beyond) {
            return false;
        }
        ordinary += ordinaryMore;
        beyond += beyondMore;
        return true;
    }

    /** Counts a whole body, whether or not there is room. */
    void take(int bytes) {
        ordinary += Math.min(bytes, ORDINARY);
        beyond += beyond(bytes);
    }

    /** A body of so many bytes is held no more. */
    void release(int bytes) {
        ordinary -= Math.min(bytes, ORDINARY);
        beyond -= beyond(bytes);
    }

    boolean hasRoomFor(int bytes) {
        return Math.min(bytes, ORDINARY) <= ordinaryMost - ordinary && beyond(bytes) <= beyondMost - beyond;
    }

    long heldBytes() {
        return ordinary + beyond;
    }

    /** Of a body of that length. */
    static int beyond(int bytes) {
        return Math.max(0, bytes - ORDINARY);
    }
}
