package burlarch.router.prefixcache;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Offsets up to which the events of each source are known, whichever router has read them. Duplicates are dropped and
 * updates that follow a gap are marked, so two routers may safely read the same source for a while. Uses no I/O and
 * no clock; not thread-safe.
 */
public final class SourceOffsets {
    /** Maximum number of tracked sources; updates of others are checked neither for duplicates nor for gaps. */
    private static final int MAX_SOURCES = 8_192;

    private final Map<String, SourceState> sources = new HashMap<>();

    private static final class SourceState {
        private long epoch;
        private long next;
        private long previousEpoch;
        private boolean restarted;

        SourceState(long epoch, long next) {
            this.epoch = epoch;
            this.next = next;
        }

        void onRestart(long newEpoch) {
            previousEpoch = epoch;
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
            if (source.restarted && update.events().epoch() == source.previousEpoch) {
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
        return markLostIfGap(update, !update.snapshot() && update.since() > 0);
    }

    private static KvUpdate advance(SourceState source, KvUpdate update, boolean followsGap) {
        source.next = Math.max(source.next, update.next());
        return markLostIfGap(update, followsGap);
    }

    private static KvUpdate markLostIfGap(KvUpdate update, boolean followsGap) {
        KvEvents events = update.events();
        if (!followsGap || events.lost()) {
            return update;
        }
        return new KvUpdate(
                new KvEvents(events.source(), events.epoch(), true, events.events()),
                update.snapshot(),
                update.since(),
                update.next());
    }

    /** The offset up to which the events of a source are known; empty if the source is unknown. */
    public Optional<KvOffset> offsetOf(String source) {
        SourceState state = sources.get(source);
        return state == null ? Optional.empty() : Optional.of(new KvOffset(state.epoch, state.next));
    }

    /** Removes all sources except the given ones. */
    public void retain(Set<String> retainedNames) {
        sources.keySet().retainAll(retainedNames);
    }
}
