package burlarch.proxy;

/** The bytes of all bodies of a kind that are held at once. On the loop. */
final class ByteBudget {
    private final int mostBytes;
    private int heldBytes;

    ByteBudget(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** @return whether so many more may be held */
    boolean hasRoomFor(int bytes) {
        return bytes <= mostBytes - heldBytes;
    }

    /** Counts what is held, also beyond what there is room for. */
    void take(int bytes) {
        heldBytes += bytes;
    }

    void release(int bytes) {
        heldBytes -= bytes;
    }

    int heldBytes() {
        return heldBytes;
    }
}
