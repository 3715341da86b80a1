package burlarch.node.http;

/** What bounds all connections of one connector together, and how long the head of a request may take to arrive. */
public final class ConnectionBounds {
    /** Memory of the head of an ordinary request at most, in bytes. */
    private static final int ORDINARY_HEAD_BYTES = 8 << 10;

    private final RequestMemoryBudget headBudget;
    private volatile long headTimeoutMillis;

    /**
     * @param maxHeadBytes limit of the memory of all request heads
     * @param bytesForOrdinaryHeads part of it that only heads of an ordinary size may use
     * @param headTimeoutMillis time after the first byte of a head by which it must be complete
     */
    public ConnectionBounds(long maxHeadBytes, long bytesForOrdinaryHeads, long headTimeoutMillis) {
        this.headBudget = new RequestMemoryBudget(maxHeadBytes, bytesForOrdinaryHeads, ORDINARY_HEAD_BYTES);
        this.headTimeoutMillis = headTimeoutMillis;
    }

    /** Sets the time for heads whose first byte arrives from now on. */
    public void setHeadTimeoutMillis(long millis) {
        headTimeoutMillis = millis;
    }

    long headTimeoutMillis() {
        return headTimeoutMillis;
    }

    RequestMemoryBudget headBudget() {
        return headBudget;
    }
}
