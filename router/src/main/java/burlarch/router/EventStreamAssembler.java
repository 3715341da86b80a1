package burlarch.router;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Lets whole events of a stream through and holds parts of events back, so that a stream that breaks off can
 * go on with another run's events in the same answer. No I/O and no clock.
 */
final class EventStreamAssembler {
    /** An event larger than this is none that a server sends. */
    static final int MOST_EVENT_BYTES = 1 << 20;

    private static final long NO_ID = -1;
    private static final int FIRST_BYTES = 512;

    private byte[] held = new byte[FIRST_BYTES];
    private int length;
    /** Up to where held bytes are scanned, and where the line under scan begins. */
    private int scanned;

    private int lineStart;
    private boolean firstLine = true;
    private long idOfEvent = NO_ID;
    private long lastId = NO_ID;
    private long version;
    private boolean passed;
    private boolean takingUp;
    private boolean broken;

    /** Takes bytes of the present run. Returns the whole events that may pass now, possibly nothing. */
    ByteBuffer accept(ByteBuffer content) {
        int added = content.remaining();
        if (broken || length + added > MOST_EVENT_BYTES) {
            broken = true;
            return ByteBuffer.allocate(0);
        }
        if (length + added > held.length) {
            held = Arrays.copyOf(held, Math.max(length + added, 2 * held.length));
        }
        content.get(held, length, added);
        length += added;
        return release(scan());
    }

    /** Whether bytes behind the last whole event are held. */
    boolean hasRest() {
        return length > 0;
    }

    /** What is held when the run ended as complete: it belongs to the stream. */
    ByteBuffer rest() {
        return release(length);
    }

    /** Another run begins behind the events that have passed. */
    void takeUp() {
        length = 0;
        scanned = 0;
        beginEvent(0);
        takingUp = true;
    }

    /** Whether a run can be asked to go on behind the last event that passed. */
    boolean canTakeUp() {
        return passed && lastId != NO_ID && !broken;
    }

    /** Id of the last event that passed. */
    long lastId() {
        return lastId;
    }

    /** Whether the present run's events don't follow those that have passed. */
    boolean isBroken() {
        return broken;
    }

    /** The last weights version that an event told, 0 if none did; asking forgets it. */
    long takeVersion() {
        long told = version;
        version = 0;
        return told;
    }

    /** Scans new bytes; returns where the last whole event among them ends. */
    private int scan() {
        int whole = 0;
        while (scanned < length && !broken) {
            if (held[scanned++] == '\n' && endLine(scanned - 1)) {
                whole = scanned;
            }
        }
        return broken ? 0 : whole;
    }

    /** A line ends before {@code end}. True if it was the empty one that ends an event. */
    private boolean endLine(int end) {
        int last = end > lineStart && held[end - 1] == '\r' ? end - 1 : end;
        if (last == lineStart) {
            endEvent();
            beginEvent(scanned);
            return true;
        }
        if (startsWith("id:", last)) {
            idOfEvent = number(lineStart + 3, last);
        } else if (firstLine && startsWith("versions:", last)) {
            version = Math.max(0, number(lineStart + 9, last));
        }
        firstLine = false;
        lineStart = scanned;
        return false;
    }

    private void endEvent() {
        if (firstLine) {
            return;
        }
        if (takingUp && idOfEvent <= lastId) {
            broken = true;
            return;
        }
        takingUp = false;
        lastId = idOfEvent;
    }

    private void beginEvent(int at) {
        lineStart = at;
        firstLine = true;
        idOfEvent = NO_ID;
    }

    private boolean startsWith(String name, int end) {
        if (end - lineStart < name.length()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (held[lineStart + i] != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private long number(int from, int to) {
        int start = from < to && held[from] == ' ' ? from + 1 : from;
        if (start == to || to - start > 18) {
            return NO_ID;
        }
        long value = 0;
        for (int i = start; i < to; i++) {
            int digit = held[i] - '0';
            if (digit < 0 || digit > 9) {
                return NO_ID;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    private ByteBuffer release(int end) {
        ByteBuffer whole = ByteBuffer.wrap(Arrays.copyOf(held, end));
        System.arraycopy(held, end, held, 0, length - end);
        length -= end;
        scanned -= Math.min(scanned, end);
        lineStart = Math.max(0, lineStart - end);
        passed |= end > 0;
        return whole;
    }
}
