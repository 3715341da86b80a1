package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How an engine reads prompts, gives tokens and runs out of memory. */
class ContinuousBatchModelTest {
    private static final int BLOCKS = 10;
    private final EngineParameters parameters = new EngineParameters(2, 1, 1_000, 100, 10, 50, 10, BLOCKS, 5_000);
    private final KvCache cache = new KvCache(10, BLOCKS, new KvEventLog(1, 100));
    private final ContinuousBatchModel model = new ContinuousBatchModel(parameters, cache);

    private static GenerationRequest request(String id, int prompt, int first, int last, int priority) {
        return new GenerationRequest(
                id, "m", "s", List.of(new PromptSegment("p" + prompt, prompt)), first, last, priority);
    }

    private List<String> play(int most) {
        List<String> given = new ArrayList<>();
        for (int i = 0; i < most && !model.isIdle(); i++) {
            for (ContinuousBatchModel.Token token : model.step().tokens()) {
                given.add(token.request().id() + token.number() + (token.last() ? "." : ""));
            }
        }
        return given;
    }

    @Test
    void aPromptIsPrefilledInChunksBeforeTheFirstToken() {
        model.offer(request("x", 60, 1, 2, 5));
        ContinuousBatchModel.Step first = model.step();
        assertThat(first.tokens()).isEmpty();
        assertThat(first.durationNanos()).isEqualTo(1_000 + 100 + 50 * 10);
        ContinuousBatchModel.Step second = model.step();
        assertThat(second.durationNanos()).isEqualTo(1_000 + 100 + 10 * 10);
        assertThat(second.tokens())
                .extracting(ContinuousBatchModel.Token::number)
                .containsExactly(1);
        assertThat(play(9)).containsExactly("x2.");
        assertThat(cache.usedTokens()).isZero();
    }

    @Test
    void aCachedPromptIsNotPrefilledAgain() {
        model.offer(request("x", 60, 1, 1, 5));
        play(9);
        model.offer(request("y", 60, 1, 1, 5));
        assertThat(model.step().tokens())
                .extracting(ContinuousBatchModel.Token::last)
                .containsExactly(true);
    }

    @Test
    void aResumedStreamContinuesAfterItsLastToken() {
        model.offer(request("x", 10, 3, 4, 5));
        assertThat(play(9)).containsExactly("x3", "x4.");
    }

    @Test
    void moreUrgentRequestsAreAdmittedFirst() {
        model.offer(request("a", 10, 1, 1, 5));
        model.offer(request("b", 20, 1, 1, 5));
        model.offer(request("c", 30, 1, 1, 0));
        assertThat(model.step().tokens())
                .extracting(token -> token.request().id())
                .containsExactly("c", "a");
    }

    @Test
    void requestsBeyondTheQueueOrTheMemoryAreRejected() {
        assertThat(model.offer(request("big", 100, 1, 5, 5))).isEqualTo(ContinuousBatchModel.Offer.TOO_LARGE);
        model.offer(request("a", 10, 1, 9, 5));
        model.step();
        model.offer(request("b", 20, 1, 9, 5));
        model.step();
        assertThat(model.offer(request("c", 30, 1, 9, 5))).isEqualTo(ContinuousBatchModel.Offer.ACCEPTED);
        assertThat(model.offer(request("d", 30, 1, 9, 5))).isEqualTo(ContinuousBatchModel.Offer.FULL);
        assertThat(model.running()).isEqualTo(2);
        assertThat(model.queued()).isEqualTo(1);
    }

    @Test
    void theNewestOfTheLeastUrgentIsPreemptedWhenMemoryRunsOut() {
        model.offer(request("old", 40, 1, 30, 5));
        model.step();
        model.offer(request("new", 30, 1, 30, 5));
        List<String> given = play(200);
        assertThat(given.indexOf("old30.")).isLessThan(given.indexOf("new30."));
        assertThat(given).doesNotHaveDuplicates().hasSize(59);
        assertThat(cache.usedTokens()).isZero();
    }

    @Test
    void aCancelledRequestReleasesItsMemory() {
        model.offer(request("a", 40, 1, 30, 5));
        model.step();
        model.cancel("a");
        assertThat(model.isIdle()).isTrue();
        assertThat(cache.usedTokens()).isZero();
    }
}
