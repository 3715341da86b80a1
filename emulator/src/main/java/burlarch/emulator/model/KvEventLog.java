package burlarch.emulator.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Bounded log of the newest events of a KV cache, numbered from 1. Readers lose events that were dropped from it. */
public final class KvEventLog {
    /** Maximum number of events in a page. */
    static final int MAX_PAGE_EVENTS = 512;

    private final long epoch;
    private final int maxEvents;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastNumber;

    /** Event: a segment was cached or evicted, and {@code tokens} of its tokens are cached from then on. */
    public record Event(long number, boolean added, String salt, String segment, int tokens, String model) {}

    /**
     * Page of events returned to a reader.
     *
     * @param next the {@code since} of the next call
     * @param lost whether events before these are missing
     */
    public record Page(long epoch, long next, boolean lost, List<Event> events) {}

    /**
     * Creates an empty log.
     *
     * @param epoch identifies this log; different for each start of an instance
     * @param maxEvents maximum number of retained events
     */
    public KvEventLog(long epoch, int maxEvents) {
        this.epoch = epoch;
        this.maxEvents = maxEvents;
    }

    void add(boolean added, String salt, String segment, int tokens, String model) {
        events.addLast(new Event(++lastNumber, added, salt, segment, tokens, model));
        if (events.size() > maxEvents) {
            events.removeFirst();
        }
    }

    /** Returns the number of the newest event, 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /** Returns the epoch, which is different for each start of an instance. */
    public long epoch() {
        return epoch;
    }

    /** Returns a page of the events with a number above {@code since}. */
    public Page since(long since) {
        long oldestNumber = lastNumber - events.size() + 1;
        boolean lost = since > lastNumber || since + 1 < oldestNumber;
        List<Event> page = new ArrayList<>();
        for (Event event : events) {
            if ((event.number() > since || since > lastNumber) && page.size() < MAX_PAGE_EVENTS) {
                page.add(event);
            }
        }
        long next = page.isEmpty() ? lastNumber : page.get(page.size() - 1).number();
        return new Page(epoch, next, lost, page);
    }
}
