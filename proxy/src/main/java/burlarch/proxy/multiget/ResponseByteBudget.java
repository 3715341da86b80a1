package burlarch.proxy.multiget;

/**
 * Byte budget shared by all response bodies that wait for the rest of their multi-get or for a slow client. It bounds
 * memory use: one multi-get may need 2 MiB, and a hundred clients may each have one open. Used on the event loop only.
 */
final class ResponseByteBudget {
    private final int maxBytes;
    private int reservedBytes;

    ResponseByteBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves all the bytes and returns true, or reserves none and returns false. */
    boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    int reservedBytes() {
        return reservedBytes;
    }
}
