package burlarch.router.prefixcache;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How far each source's events are known, whoever read them: what comes twice is dropped, and what comes
 * after a gap is marked so. Two readers of one source at a time do no harm.
 */
public final class SourceOffsets {
    /** Sources beyond this number are not checked. */
    private static final int MOST_SOURCES = 8_192;

    private final Map<String, Known> known = new HashMap<>();

    private static final class Known {
        private long epoch;
        private long next;
        private long formerEpoch;
        private boolean restarted;

        Known(long epoch, long next) {
            this.epoch = epoch;
            this.next = next;
        }

        void restart(long newer) {
            formerEpoch = epoch;
            restarted = true;
            epoch = newer;
            next = 0;
        }
    }

    /** What of it is to be taken in, or null where it is known already. */
    public KvUpdate accept(KvUpdate news) {
        Known source = known.get(news.events().source());
        if (source == null) {
            return first(news);
        }
        if (news.events().epoch() != source.epoch) {
            if (source.restarted && news.events().epoch() == source.formerEpoch) {
                return null;
            }
            source.restart(news.events().epoch());
            return advance(source, news, !news.snapshot() && news.since() > 0);
        }
        if (news.snapshot()) {
            return news.next() < source.next ? null : advance(source, news, false);
        }
        boolean nothingNew = news.next() <= source.next && !news.events().lost();
        return nothingNew ? null : advance(source, news, news.since() > source.next);
    }

    private KvUpdate first(KvUpdate news) {
        if (known.size() < MOST_SOURCES) {
            known.put(news.events().source(), new Known(news.events().epoch(), news.next()));
        }
        return marked(news, !news.snapshot() && news.since() > 0);
    }

    private static KvUpdate advance(Known source, KvUpdate news, boolean gap) {
        source.next = Math.max(source.next, news.next());
        return marked(news, gap);
    }

    private static KvUpdate marked(KvUpdate news, boolean gap) {
        KvEvents kept = news.events();
        if (!gap || kept.lost()) {
            return news;
        }
        return new KvUpdate(
                new KvEvents(kept.source(), kept.epoch(), true, kept.events()),
                news.snapshot(),
                news.since(),
                news.next());
    }

    /** How far the source is known, or null where it is not. */
    public KvOffset offsetOf(String source) {
        Known position = known.get(source);
        return position == null ? null : new KvOffset(position.epoch, position.next);
    }

    /** Forgets all sources but these. */
    public void retain(Set<String> sources) {
        known.keySet().retainAll(sources);
    }
}
