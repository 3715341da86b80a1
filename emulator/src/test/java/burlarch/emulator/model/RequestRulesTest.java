package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/** Which requests an instance turns away, and how a prompt's parts are read. */
class RequestRulesTest {
    private static int check(Map<String, String> headers) {
        return RequestRules.check(headers::get, "i-1", Map.of("m", 3L));
    }

    @Test
    void requestsForThisInstanceRun() {
        assertThat(check(Map.of("X-Request-Id", "r"))).isEqualTo(RequestRules.RUN);
        assertThat(check(
                        Map.of("X-Request-Id", "r", "X-Target-Instance", "i-1", "X-Model", "m", "Expect-Version", "3")))
                .isEqualTo(RequestRules.RUN);
    }

    @Test
    void othersAreMisdirected() {
        assertThat(check(Map.of("X-Request-Id", "r", "X-Target-Instance", "i-2")))
                .isEqualTo(421);
        assertThat(check(Map.of("X-Request-Id", "r", "X-Model", "m", "Expect-Version", "2")))
                .isEqualTo(421);
    }

    @Test
    void anIdIsNeeded() {
        assertThat(check(Map.of())).isEqualTo(400);
    }

    @Test
    void partsOfAPrompt() {
        assertThat(PromptPart.parse("5c:800, 9a:20"))
                .isEqualTo(List.of(new PromptPart("5c", 800), new PromptPart("9a", 20)));
        assertThat(PromptPart.parse(null)).isEmpty();
        Assertions.assertThatIllegalArgumentException().isThrownBy(() -> PromptPart.parse("5c"));
    }
}
