package burlarch.router.prefixcache;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Up to which offset the events of each source are known, whichever router has read them. It drops duplicates
 * and marks updates that follow a gap, so it is safe that two routers read one source for a while. No I/O, no
 * clock, not thread-safe.
 */
public final class SourceOffsets {
    /** Updates of further sources are neither checked for duplicates nor for gaps. */
    private static final int MAX_SOURCES = 8_192;

    private final Map<String, SourceState> sources = new HashMap<>();

    private static final class SourceState {
        private long epoch;
        private long next;
        private long formerEpoch;
        private boolean restarted;

        SourceState(long epoch, long next) {
            this.epoch = epoch;
            this.next = next;
        }

        void onRestart(long newEpoch) {
            formerEpoch = epoch;
            restarted = true;
            epoch = newEpoch;
            next = 0;
        }
    }

    /**
     * Checks an update against the offset of its source, and advances the offset.
     *
     * @return the update to apply, with events marked as lost if it follows a gap; null if it is a duplicate
     */
    public KvUpdate accept(KvUpdate update) {
        SourceState source = sources.get(update.events().source());
        if (source == null) {
            return acceptFirst(update);
        }
        if (update.events().epoch() != source.epoch) {
            if (source.restarted && update.events().epoch() == source.formerEpoch) {
                return null;
            }
            source.onRestart(update.events().epoch());
            return advance(source, update, !update.snapshot() && update.since() > 0);
        }
        if (update.snapshot()) {
            return update.next() < source.next ? null : advance(source, update, false);
        }
        boolean duplicate = update.next() <= source.next && !update.events().lost();
        return duplicate ? null : advance(source, update, update.since() > source.next);
    }

    private KvUpdate acceptFirst(KvUpdate update) {
        if (sources.size() < MAX_SOURCES) {
            sources.put(
                    update.events().source(), new SourceState(update.events().epoch(), update.next()));
        }
        return withGap(update, !update.snapshot() && update.since() > 0);
    }

    private static KvUpdate advance(SourceState source, KvUpdate update, boolean gap) {
        source.next = Math.max(source.next, update.next());
        return withGap(update, gap);
    }

    private static KvUpdate withGap(KvUpdate update, boolean gap) {
        KvEvents events = update.events();
        if (!gap || events.lost()) {
            return update;
        }
        return new KvUpdate(
                new KvEvents(events.source(), events.epoch(), true, events.events()),
                update.snapshot(),
                update.since(),
                update.next());
    }

    /** Up to which offset the source is known; empty if it is unknown. */
    public Optional<KvOffset> offsetOf(String source) {
        SourceState state = sources.get(source);
        return state == null ? Optional.empty() : Optional.of(new KvOffset(state.epoch, state.next));
    }

    /** Forgets all other sources. */
    public void retain(Set<String> names) {
        sources.keySet().retainAll(names);
    }
}
