package burlarch.router.prefixcache;

import burlarch.engine.KvNews;
import burlarch.engine.KvPosition;
import burlarch.routing.KvEvents;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How far each source's events are known, whoever read them: what comes twice is dropped, and what comes
 * after a gap is marked so. Two readers of one source at a time do no harm.
 */
public final class SourcePositions {
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
    public KvNews accept(KvNews news) {
        Known source = known.get(news.kept().source());
        if (source == null) {
            return first(news);
        }
        if (news.kept().epoch() != source.epoch) {
            if (source.restarted && news.kept().epoch() == source.formerEpoch) {
                return null;
            }
            source.restart(news.kept().epoch());
            return advance(source, news, !news.list() && news.since() > 0);
        }
        if (news.list()) {
            return news.next() < source.next ? null : advance(source, news, false);
        }
        boolean nothingNew = news.next() <= source.next && !news.kept().lost();
        return nothingNew ? null : advance(source, news, news.since() > source.next);
    }

    private KvNews first(KvNews news) {
        if (known.size() < MOST_SOURCES) {
            known.put(news.kept().source(), new Known(news.kept().epoch(), news.next()));
        }
        return marked(news, !news.list() && news.since() > 0);
    }

    private static KvNews advance(Known source, KvNews news, boolean gap) {
        source.next = Math.max(source.next, news.next());
        return marked(news, gap);
    }

    private static KvNews marked(KvNews news, boolean gap) {
        KvEvents kept = news.kept();
        if (!gap || kept.lost()) {
            return news;
        }
        return new KvNews(
                new KvEvents(kept.source(), kept.epoch(), true, kept.events()), news.list(), news.since(), news.next());
    }

    /** How far the source is known, or null where it is not. */
    public KvPosition of(String source) {
        Known position = known.get(source);
        return position == null ? null : new KvPosition(position.epoch, position.next);
    }

    /** Forgets all sources but these. */
    public void retain(Set<String> sources) {
        known.keySet().retainAll(sources);
    }
}
