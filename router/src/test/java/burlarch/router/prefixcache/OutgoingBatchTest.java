package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.util.Collections;
import org.junit.jupiter.api.Test;

/** When a batch is full and when its delay starts. */
class OutgoingBatchTest {
    private final OutgoingBatch batch = new OutgoingBatch();

    private static KvUpdate updateOf(int events) {
        KvEvent event = new KvEvent(true, "s", 1, 16, "");
        return new KvUpdate(new KvEvents("e", 7, false, Collections.nCopies(events, event)), false, 0, events);
    }

    @Test
    void firstUpdateStartsTheDelay() {
        assertThat(batch.add(updateOf(1))).isTrue();
        assertThat(batch.add(updateOf(1))).isFalse();
        assertThat(batch.isFull()).isFalse();
        assertThat(batch.take()).hasSize(2);
        assertThat(batch.take()).isEmpty();
        assertThat(batch.add(updateOf(1))).isTrue();
    }

    @Test
    void batchIsFullAtTheMaximumNumberOfEvents() {
        batch.add(updateOf(63));
        assertThat(batch.isFull()).isFalse();
        batch.add(updateOf(1));
        assertThat(batch.isFull()).isTrue();
        batch.take();
        assertThat(batch.isFull()).isFalse();
    }

    @Test
    void batchIsFullAtTheMaximumNumberOfUpdates() {
        for (int i = 0; i < 64; i++) {
            batch.add(updateOf(0));
        }
        assertThat(batch.isFull()).isTrue();
    }
}
