package burlarch.router.forwarding;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits an event stream (text/event-stream) at event boundaries: releases complete events and holds back
 * incomplete ones, so that a stream that breaks off can continue with the events of another run in the same
 * response. A run is the stream of one attempt. Uses no I/O and no clock; owned by its exchange.
 *
 * <p>Invariant: only complete events are released, except by {@link #releaseIncompleteEvent} at the end of a complete
 * run. A run that resumes the stream is invalid unless the id of its first event is above {@link #lastEventId}.
 */
final class EventStreamAssembler {
    /** Maximum size of an event and of the held-back bytes; instances send no larger events. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final long NO_ID = -1;
    private static final int INITIAL_BYTES = 512;
    /** Every number of 18 decimal digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    /** Bytes that have not been released, from index 0 to {@code length}. */
    private byte[] buffer = new byte[INITIAL_BYTES];

    private int length;
    /** Bytes before this offset have been scanned. */
    private int scanned;
    /** Offset of the start of the line that is being scanned. */
    private int lineStart;

    private boolean firstLineOfEvent = true;
    private long eventId = NO_ID;
    private long lastId = NO_ID;
    private long weightsVersion;
    private boolean anyReleased;
    private boolean awaitingFirstEventOfRun;
    private boolean invalid;

    /** Adds bytes of the current run. Returns the complete events that may be forwarded now, if any. */
    ByteBuffer accept(ByteBuffer content) {
        int addedBytes = content.remaining();
        if (invalid || length + addedBytes > MAX_EVENT_BYTES) {
            invalid = true;
            return ByteBuffer.allocate(0);
        }
        if (length + addedBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + addedBytes, 2 * buffer.length));
        }
        content.get(buffer, length, addedBytes);
        length += addedBytes;
        return release(scan());
    }

    /** Whether bytes of an incomplete event are held back. */
    boolean hasIncompleteEvent() {
        return length > 0;
    }

    /** Releases the held-back bytes after the run has ended as complete: they belong to the stream. */
    ByteBuffer releaseIncompleteEvent() {
        return release(length);
    }

    /** Discards the held-back bytes and starts another run, which continues after the released events. */
    void startNextRun() {
        length = 0;
        scanned = 0;
        beginEvent(0);
        awaitingFirstEventOfRun = true;
    }

    /** Whether another run can continue the stream: an event was released, and the last one has an id. */
    boolean canResume() {
        return anyReleased && lastId != NO_ID && !invalid;
    }

    /** Id of the last released event. */
    long lastEventId() {
        return lastId;
    }

    /** Whether an event is too large or the events of the current run do not follow the released ones. */
    boolean isInvalid() {
        return invalid;
    }

    /** Returns and resets the weights version that an event stated last; 0 if none did. */
    long takeWeightsVersion() {
        long version = weightsVersion;
        weightsVersion = 0;
        return version;
    }

    /** Scans the new bytes. Returns the end offset of the last complete event, 0 if there is none. */
    private int scan() {
        int completeEnd = 0;
        while (scanned < length && !invalid) {
            if (buffer[scanned++] == '\n' && endLine(scanned - 1)) {
                completeEnd = scanned;
            }
        }
        return invalid ? 0 : completeEnd;
    }

    /** Processes the line that ends before {@code end}. Returns whether it is the empty line that ends an event. */
    private boolean endLine(int end) {
        int contentEnd = end > lineStart && buffer[end - 1] == '\r' ? end - 1 : end;
        if (contentEnd == lineStart) {
            endEvent();
            beginEvent(scanned);
            return true;
        }
        if (lineStartsWith("id:", contentEnd)) {
            eventId = parseNumber(lineStart + 3, contentEnd);
        } else if (firstLineOfEvent && lineStartsWith("versions:", contentEnd)) {
            weightsVersion = Math.max(0, parseNumber(lineStart + 9, contentEnd));
        }
        firstLineOfEvent = false;
        lineStart = scanned;
        return false;
    }

    private void endEvent() {
        if (firstLineOfEvent) {
            return;
        }
        if (awaitingFirstEventOfRun && eventId <= lastId) {
            invalid = true;
            return;
        }
        awaitingFirstEventOfRun = false;
        lastId = eventId;
    }

    private void beginEvent(int offset) {
        lineStart = offset;
        firstLineOfEvent = true;
        eventId = NO_ID;
    }

    private boolean lineStartsWith(String name, int end) {
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

    private long parseNumber(int from, int to) {
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
