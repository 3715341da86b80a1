package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests which requests an instance rejects, and how the segments of a prompt are parsed. */
class RequestValidationTest {
    private static int check(Map<String, String> headers) {
        return RequestValidation.check(headers::get, "i-1", Map.of("m", 3L));
    }

    @Test
    void requestsForThisInstanceAreAccepted() {
        assertThat(check(Map.of("X-Request-Id", "r"))).isEqualTo(RequestValidation.ACCEPTED);
        assertThat(check(
                        Map.of("X-Request-Id", "r", "X-Target-Instance", "i-1", "X-Model", "m", "Expect-Version", "3")))
                .isEqualTo(RequestValidation.ACCEPTED);
    }

    @Test
    void requestsForOthersAreMisdirected() {
        assertThat(check(Map.of("X-Request-Id", "r", "X-Target-Instance", "i-2")))
                .isEqualTo(421);
        assertThat(check(Map.of("X-Request-Id", "r", "X-Model", "m", "Expect-Version", "2")))
                .isEqualTo(421);
    }

    @Test
    void requestWithoutIdIsRejected() {
        assertThat(check(Map.of())).isEqualTo(400);
    }

    @Test
    void promptSegmentsAreParsed() {
        assertThat(PromptSegment.parse("5c:800, 9a:20"))
                .isEqualTo(List.of(new PromptSegment("5c", 800), new PromptSegment("9a", 20)));
        assertThat(PromptSegment.parse(null)).isEmpty();
        Assertions.assertThatIllegalArgumentException().isThrownBy(() -> PromptSegment.parse("5c"));
    }
}
