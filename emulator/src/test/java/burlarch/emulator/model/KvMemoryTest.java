package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What a memory keeps, lets go and tells. Blocks are of 10 tokens. */
class KvMemoryTest {
    private static final PromptPart A = new PromptPart("a", 20);
    private static final PromptPart B = new PromptPart("b", 30);
    private static final PromptPart C = new PromptPart("c", 10);

    private final KvEventLog log = new KvEventLog(7, 4);
    private final KvMemory memory = new KvMemory(10, 6, log);

    @Test
    void aPartCountsOnlyWhenAllBeforeItAreKept() {
        memory.keep("s", List.of(B), "m");
        assertThat(memory.keptTokens("s", List.of(A, B))).isZero();
        memory.keep("s", List.of(A), "m");
        assertThat(memory.keptTokens("s", List.of(A, B, C))).isEqualTo(50);
    }

    @Test
    void anotherSaltFindsNothing() {
        memory.keep("s", List.of(A), "m");
        assertThat(memory.keptTokens("t", List.of(A))).isZero();
    }

    @Test
    void theLeastRecentlyUsedGivesWay() {
        memory.keep("s", List.of(A, B), "m");
        memory.keptTokens("s", List.of(A));
        assertThat(memory.reserve(3)).isTrue();
        assertThat(memory.held()).extracting(KvMemory.Held::part).containsExactly("a");
        assertThat(log.since(0).events()).extracting(KvEventLog.Event::added).containsExactly(true, true, false);
    }

    @Test
    void whatRequestsReserveDoesNotGiveWay() {
        assertThat(memory.reserve(5)).isTrue();
        assertThat(memory.reserve(2)).isFalse();
        memory.keep("s", List.of(A), "m");
        assertThat(memory.held()).isEmpty();
        assertThat(memory.usedTokens()).isEqualTo(50);
        memory.release(5);
        assertThat(memory.usedTokens()).isZero();
    }

    @Test
    void aModelsPartsCanBeDropped() {
        memory.keep("s", List.of(A), "m");
        memory.keep("s", List.of(C), "n");
        memory.drop("m");
        assertThat(memory.held()).extracting(KvMemory.Held::model).containsExactly("n");
    }

    @Test
    void readersGoOnWhereTheyWere() {
        memory.keep("s", List.of(A), "m");
        KvEventLog.Page first = log.since(0);
        memory.keep("s", List.of(C), "m");
        KvEventLog.Page second = log.since(first.next());
        assertThat(second.events()).extracting(KvEventLog.Event::part).containsExactly("c");
        assertThat(second.lost()).isFalse();
        assertThat(log.since(second.next()).events()).isEmpty();
        assertThat(second.epoch()).isEqualTo(7);
    }

    @Test
    void aGapIsMarked() {
        for (int i = 0; i < 3; i++) {
            memory.keep("s", List.of(A, C), "m");
            memory.drop("m");
        }
        assertThat(log.since(0).lost()).isTrue();
        assertThat(log.since(0).events()).hasSize(4);
        assertThat(log.since(99).lost()).isTrue();
        assertThat(log.since(log.lastNumber()).lost()).isFalse();
    }
}
