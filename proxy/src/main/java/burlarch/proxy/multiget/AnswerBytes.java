package burlarch.proxy.multiget;

/**
 * The bytes of all bodies that wait for the other lines of their multi-get, or for a client that reads
 * slowly. Guards the memory: a whole multi-get may come to 2 MiB, and a hundred clients may each have one.
 */
final class AnswerBytes {
    private final int most;
    private int held;

    AnswerBytes(int most) {
        this.most = most;
    }

    /** Takes room for so many bytes, or none. */
    boolean take(int bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    void release(int bytes) {
        held -= bytes;
    }

    int held() {
        return held;
    }
}
