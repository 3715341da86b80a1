package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How an engine reads prompts, gives tokens and runs out of memory. */
class BatchModelTest {
    private static final int BLOCKS = 10;
    private final EngineParameters parameters = new EngineParameters(2, 1, 1_000, 100, 10, 50, 10, BLOCKS, 5_000);
    private final KvMemory memory = new KvMemory(10, BLOCKS, new KvEventLog(1, 100));
    private final BatchModel model = new BatchModel(parameters, memory);

    private static Job job(String id, int prompt, int first, int last, int priority) {
        return new Job(id, "m", "s", List.of(new PromptPart("p" + prompt, prompt)), first, last, priority);
    }

    private List<String> play(int most) {
        List<String> given = new ArrayList<>();
        for (int i = 0; i < most && !model.idle(); i++) {
            for (BatchModel.Token token : model.step().tokens()) {
                given.add(token.job().id() + token.number() + (token.last() ? "." : ""));
            }
        }
        return given;
    }

    @Test
    void aPromptIsReadInPiecesBeforeTheFirstToken() {
        model.offer(job("x", 60, 1, 2, 5));
        BatchModel.Step first = model.step();
        assertThat(first.tokens()).isEmpty();
        assertThat(first.durationNanos()).isEqualTo(1_000 + 100 + 50 * 10);
        BatchModel.Step second = model.step();
        assertThat(second.durationNanos()).isEqualTo(1_000 + 100 + 10 * 10);
        assertThat(second.tokens()).extracting(BatchModel.Token::number).containsExactly(1);
        assertThat(play(9)).containsExactly("x2.");
        assertThat(memory.usedTokens()).isZero();
    }

    @Test
    void aKeptPromptIsNotReadAgain() {
        model.offer(job("x", 60, 1, 1, 5));
        play(9);
        model.offer(job("y", 60, 1, 1, 5));
        assertThat(model.step().tokens()).extracting(BatchModel.Token::last).containsExactly(true);
    }

    @Test
    void aStreamGoesOnWhereItIsTakenUp() {
        model.offer(job("x", 10, 3, 4, 5));
        assertThat(play(9)).containsExactly("x3", "x4.");
    }

    @Test
    void moreUrgentRequestsEnterFirst() {
        model.offer(job("a", 10, 1, 1, 5));
        model.offer(job("b", 20, 1, 1, 5));
        model.offer(job("c", 30, 1, 1, 0));
        assertThat(model.step().tokens()).extracting(token -> token.job().id()).containsExactly("c", "a");
    }

    @Test
    void aFullQueueAndTooLargeRequestsAreTurnedAway() {
        assertThat(model.offer(job("big", 100, 1, 5, 5))).isEqualTo(BatchModel.Offer.TOO_LARGE);
        model.offer(job("a", 10, 1, 9, 5));
        model.step();
        model.offer(job("b", 20, 1, 9, 5));
        model.step();
        assertThat(model.offer(job("c", 30, 1, 9, 5))).isEqualTo(BatchModel.Offer.TAKEN);
        assertThat(model.offer(job("d", 30, 1, 9, 5))).isEqualTo(BatchModel.Offer.FULL);
        assertThat(model.running()).isEqualTo(2);
        assertThat(model.queued()).isEqualTo(1);
    }

    @Test
    void theNewestOfTheLeastUrgentGoesBackWhenMemoryRunsOut() {
        model.offer(job("old", 40, 1, 30, 5));
        model.step();
        model.offer(job("new", 30, 1, 30, 5));
        List<String> given = play(200);
        assertThat(given.indexOf("old30.")).isLessThan(given.indexOf("new30."));
        assertThat(given).doesNotHaveDuplicates().hasSize(59);
        assertThat(memory.usedTokens()).isZero();
    }

    @Test
    void aCancelledRequestGivesItsMemoryBack() {
        model.offer(job("a", 40, 1, 30, 5));
        model.step();
        model.cancel("a");
        assertThat(model.idle()).isTrue();
        assertThat(memory.usedTokens()).isZero();
    }
}
