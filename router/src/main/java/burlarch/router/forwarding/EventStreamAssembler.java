package burlarch.router.forwarding;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Releases the complete events of a stream and holds incomplete ones back, so that a stream that breaks off
 * can continue with the events of another run in the same response. A run is the stream of one attempt. No I/O
 * and no clock; owned by its exchange.
 *
 * <p>Invariant: only complete events have been released, except by {@link #takeRest} at the end of a complete
 * run. A run that starts after a break is broken unless its first event has an id above {@link #lastEventId}.
 */
final class EventStreamAssembler {
    /** No instance sends a larger event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final long NO_ID = -1;
    private static final int INITIAL_BYTES = 512;
    private static final int MAX_DIGITS = 18;

    /** Bytes that have not been released, from 0 to {@code length}. */
    private byte[] buffer = new byte[INITIAL_BYTES];

    private int length;
    /** Bytes before this offset are scanned. */
    private int scanned;
    /** Offset at which the line that is being scanned starts. */
    private int lineStart;

    private boolean firstLineOfEvent = true;
    private long idOfEvent = NO_ID;
    private long lastId = NO_ID;
    private long weightsVersion;
    private boolean anyReleased;
    private boolean awaitingFirstOfRun;
    private boolean broken;

    /** Takes bytes of the present run. Returns the complete events that may be forwarded now, if any. */
    ByteBuffer accept(ByteBuffer content) {
        int added = content.remaining();
        if (broken || length + added > MAX_EVENT_BYTES) {
            broken = true;
            return ByteBuffer.allocate(0);
        }
        if (length + added > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + added, 2 * buffer.length));
        }
        content.get(buffer, length, added);
        length += added;
        return release(scan());
    }

    /** Whether bytes after the last complete event are held back. */
    boolean hasIncompleteEvent() {
        return length > 0;
    }

    /** Releases what is held back when the run has ended as complete: it belongs to the stream. */
    ByteBuffer takeRest() {
        return release(length);
    }

    /** Another run continues after the events that have been released. */
    void startNextRun() {
        length = 0;
        scanned = 0;
        beginEvent(0);
        awaitingFirstOfRun = true;
    }

    /** Whether another run can be asked to continue after the last released event. */
    boolean canResume() {
        return anyReleased && lastId != NO_ID && !broken;
    }

    /** Id of the last released event. */
    long lastEventId() {
        return lastId;
    }

    /** Whether the events of the present run do not follow those that have been released. */
    boolean isBroken() {
        return broken;
    }

    /** The last weights version that an event has stated, 0 if none; resets it. */
    long takeWeightsVersion() {
        long taken = weightsVersion;
        weightsVersion = 0;
        return taken;
    }

    /** Scans new bytes; returns the offset at which the last complete event among them ends. */
    private int scan() {
        int complete = 0;
        while (scanned < length && !broken) {
            if (buffer[scanned++] == '\n' && endLine(scanned - 1)) {
                complete = scanned;
            }
        }
        return broken ? 0 : complete;
    }

    /** A line ends before {@code end}. Returns whether it is the empty line that ends an event. */
    private boolean endLine(int end) {
        int last = end > lineStart && buffer[end - 1] == '\r' ? end - 1 : end;
        if (last == lineStart) {
            endEvent();
            beginEvent(scanned);
            return true;
        }
        if (startsWith("id:", last)) {
            idOfEvent = number(lineStart + 3, last);
        } else if (firstLineOfEvent && startsWith("versions:", last)) {
            weightsVersion = Math.max(0, number(lineStart + 9, last));
        }
        firstLineOfEvent = false;
        lineStart = scanned;
        return false;
    }

    private void endEvent() {
        if (firstLineOfEvent) {
            return;
        }
        if (awaitingFirstOfRun && idOfEvent <= lastId) {
            broken = true;
            return;
        }
        awaitingFirstOfRun = false;
        lastId = idOfEvent;
    }

    private void beginEvent(int offset) {
        lineStart = offset;
        firstLineOfEvent = true;
        idOfEvent = NO_ID;
    }

    private boolean startsWith(String name, int end) {
        if (end - lineStart < name.length()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            if (buffer[lineStart + i] != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private long number(int from, int to) {
        int start = from < to && buffer[from] == ' ' ? from + 1 : from;
        if (start == to || to - start > MAX_DIGITS) {
            return NO_ID;
        }
        long value = 0;
        for (int i = start; i < to; i++) {
            int digit = buffer[i] - '0';
            if (digit < 0 || digit > 9) {
                return NO_ID;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    private ByteBuffer release(int end) {
        ByteBuffer released = ByteBuffer.wrap(Arrays.copyOf(buffer, end));
        System.arraycopy(buffer, end, buffer, 0, length - end);
        length -= end;
        scanned -= Math.min(scanned, end);
        lineStart = Math.max(0, lineStart - end);
        anyReleased |= end > 0;
        return released;
    }
}
