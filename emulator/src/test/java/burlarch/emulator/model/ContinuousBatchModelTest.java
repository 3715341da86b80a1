package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests prefill, decoding, admission and preemption of the batch model. */
class ContinuousBatchModelTest {
    private static final int BLOCKS = 10;
    private final EngineParameters parameters = new EngineParameters(2, 1, 1_000, 100, 10, 50, 10, BLOCKS, 5_000);
    private final KvCache cache = new KvCache(10, BLOCKS, new KvEventLog(1, 100));
    private final ContinuousBatchModel model = new ContinuousBatchModel(parameters, cache);

    private static GenerationRequest request(String id, int promptTokens, int firstToken, int lastToken, int priority) {
        return new GenerationRequest(
                id,
                "m",
                "s",
                List.of(new PromptSegment("p" + promptTokens, promptTokens)),
                firstToken,
                lastToken,
                priority);
    }

    /** Runs up to {@code maxSteps} steps; returns each token as request id and number, the last with a dot. */
    private List<String> runSteps(int maxSteps) {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < maxSteps && !model.isIdle(); i++) {
            for (ContinuousBatchModel.Token token : model.step().tokens()) {
                tokens.add(token.request().id() + token.number() + (token.last() ? "." : ""));
            }
        }
        return tokens;
    }

    @Test
    void promptIsPrefilledInChunksBeforeTheFirstToken() {
        model.offer(request("x", 60, 1, 2, 5));
        ContinuousBatchModel.Step first = model.step();
        assertThat(first.tokens()).isEmpty();
        assertThat(first.durationNanos()).isEqualTo(1_000 + 100 + 50 * 10);
        ContinuousBatchModel.Step second = model.step();
        assertThat(second.durationNanos()).isEqualTo(1_000 + 100 + 10 * 10);
        assertThat(second.tokens())
                .extracting(ContinuousBatchModel.Token::number)
                .containsExactly(1);
        assertThat(runSteps(9)).containsExactly("x2.");
        assertThat(cache.usedTokens()).isZero();
    }

    @Test
    void cachedPromptIsNotPrefilledAgain() {
        model.offer(request("x", 60, 1, 1, 5));
        runSteps(9);
        model.offer(request("y", 60, 1, 1, 5));
        assertThat(model.step().tokens())
                .extracting(ContinuousBatchModel.Token::last)
                .containsExactly(true);
    }

    @Test
    void resumedStreamContinuesAfterItsLastToken() {
        model.offer(request("x", 10, 3, 4, 5));
        assertThat(runSteps(9)).containsExactly("x3", "x4.");
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
    void newestOfTheLeastUrgentIsPreemptedIfMemoryRunsOut() {
        model.offer(request("old", 40, 1, 30, 5));
        model.step();
        model.offer(request("new", 30, 1, 30, 5));
        List<String> tokens = runSteps(200);
        assertThat(tokens.indexOf("old30.")).isLessThan(tokens.indexOf("new30."));
        assertThat(tokens).doesNotHaveDuplicates().hasSize(59);
        assertThat(cache.usedTokens()).isZero();
    }

    @Test
    void cancelledRequestReleasesItsMemory() {
        model.offer(request("a", 40, 1, 30, 5));
        model.step();
        model.cancel("a");
        assertThat(model.isIdle()).isTrue();
        assertThat(cache.usedTokens()).isZero();
    }
}
