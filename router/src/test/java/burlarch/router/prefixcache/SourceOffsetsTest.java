package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Detection of duplicates and gaps in the updates of a source. */
class SourceOffsetsTest {
    private final SourceOffsets offsets = new SourceOffsets();

    private static KvUpdate events(long epoch, long since, long next) {
        return new KvUpdate(new KvEvents("e", epoch, false, List.of()), false, since, next);
    }

    private static KvUpdate snapshot(long epoch, long next) {
        return new KvUpdate(new KvEvents("e", epoch, false, List.of()), true, next, next);
    }

    /** Returns the result for an update: accepted, lost (accepted, with events marked as lost) or dropped. */
    private String accept(KvUpdate update) {
        KvUpdate accepted = offsets.accept(update);
        return accepted == null ? "dropped" : accepted.events().lost() ? "lost" : "accepted";
    }

    @Test
    void consecutiveUpdatesAreAcceptedUnchanged() {
        KvUpdate first = events(7, 0, 4);
        assertThat(offsets.accept(first)).isSameAs(first);
        assertThat(accept(events(7, 4, 9))).isEqualTo("accepted");
        assertThat(offsets.offsetOf("e")).contains(new KvOffset(7, 9));
        assertThat(offsets.offsetOf("other")).isEmpty();
    }

    @Test
    void duplicatesAreDroppedAndOverlapsAccepted() {
        accept(events(7, 0, 4));
        accept(events(7, 4, 9));
        assertThat(accept(events(7, 4, 9))).isEqualTo("dropped");
        assertThat(accept(events(7, 0, 4))).isEqualTo("dropped");
        assertThat(accept(events(7, 4, 11))).isEqualTo("accepted");
        assertThat(offsets.offsetOf("e").orElseThrow().next()).isEqualTo(11);
    }

    @Test
    void gapIsMarkedOnce() {
        accept(events(7, 0, 4));
        assertThat(accept(events(7, 6, 9))).isEqualTo("lost");
        assertThat(accept(events(7, 9, 10))).isEqualTo("accepted");
        assertThat(accept(events(7, 4, 6))).isEqualTo("dropped");
    }

    @Test
    void firstUpdateWithAnOffsetIsAGap() {
        assertThat(accept(events(7, 30, 31))).isEqualTo("lost");
    }

    @Test
    void snapshotReplacesAllEarlierUpdates() {
        accept(events(7, 0, 4));
        assertThat(accept(snapshot(7, 20))).isEqualTo("accepted");
        assertThat(accept(events(7, 20, 22))).isEqualTo("accepted");
        assertThat(accept(snapshot(7, 21))).isEqualTo("dropped");
    }

    @Test
    void newEpochStartsOverAndThePreviousOneIsIgnored() {
        accept(events(7, 0, 40));
        assertThat(accept(events(8, 0, 0))).isEqualTo("accepted");
        assertThat(accept(events(7, 40, 41))).isEqualTo("dropped");
        assertThat(accept(events(8, 0, 3))).isEqualTo("accepted");
        assertThat(accept(events(9, 5, 6))).isEqualTo("lost");
        assertThat(offsets.offsetOf("e")).contains(new KvOffset(9, 6));
    }

    @Test
    void removedSourcesStartOver() {
        accept(events(7, 0, 40));
        offsets.retain(Set.of("other"));
        assertThat(offsets.offsetOf("e")).isEmpty();
        assertThat(accept(events(7, 0, 2))).isEqualTo("accepted");
    }
}
