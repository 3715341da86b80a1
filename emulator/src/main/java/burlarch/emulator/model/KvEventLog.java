package burlarch.emulator.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The newest events of a memory, by number. What is older than the bound is lost to readers. */
public final class KvEventLog {
    /** Most events that one page holds. */
    static final int PAGE = 512;

    private final long epoch;
    private final int most;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastNumber;

    /** A part came or went; {@code tokens} are those kept now. */
    public record Event(long number, boolean added, String salt, String part, int tokens, String model) {}

    /**
     * What a reader gets.
     *
     * @param next the {@code since} of its next call
     * @param lost whether events before these are missing
     */
    public record Page(long epoch, long next, boolean lost, List<Event> events) {}

    /**
     * An empty log.
     *
     * @param epoch differs after each restart
     * @param most events that are held
     */
    public KvEventLog(long epoch, int most) {
        this.epoch = epoch;
        this.most = most;
    }

    void add(boolean added, String salt, String part, int tokens, String model) {
        events.addLast(new Event(++lastNumber, added, salt, part, tokens, model));
        if (events.size() > most) {
            events.removeFirst();
        }
    }

    /** Number of the newest event, 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /** Differs after each restart. */
    public long epoch() {
        return epoch;
    }

    /** The events after that number. */
    public Page since(long since) {
        long oldest = lastNumber - events.size() + 1;
        boolean lost = since > lastNumber || since + 1 < oldest;
        List<Event> page = new ArrayList<>();
        for (Event event : events) {
            if ((event.number() > since || since > lastNumber) && page.size() < PAGE) {
                page.add(event);
            }
        }
        long next = page.isEmpty() ? lastNumber : page.get(page.size() - 1).number();
        return new Page(epoch, next, lost, page);
    }
}
