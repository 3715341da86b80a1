package burlarch.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventStreamAssemblerTest {
    private final EventStreamAssembler relay = new EventStreamAssembler();

    private String accept(String text) {
        return text(relay.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 1000})
    void wholeEventsPassHoweverTheyAreCut(int step) {
        String stream =
                "id: 1\ndata: a\n\nversions: 7\nid: 2\r\ndata: b\r\n\r\n" + ": note\n\nid:33\ndata: c\n\nid: 34\nda";
        StringBuilder passed = new StringBuilder();
        for (int at = 0; at < stream.length(); at += step) {
            String now = accept(stream.substring(at, Math.min(stream.length(), at + step)));
            assertThat(now.isEmpty() || now.endsWith("\n")).isTrue();
            passed.append(now);
        }
        assertThat(passed.toString()).isEqualTo(stream.substring(0, stream.lastIndexOf("id: 34")));
        assertThat(relay.lastId()).isEqualTo(33);
        assertThat(relay.takeVersion()).isEqualTo(7);
        assertThat(relay.takeVersion()).isZero();
        assertThat(relay.canTakeUp()).isTrue();
        assertThat(text(relay.rest())).isEqualTo("id: 34\nda");
    }

    @Test
    void anotherRunGoesOnBehindTheLastWholeEvent() {
        assertThat(accept("id: 1\ndata: a\n\nid: 2\ndata: half")).isEqualTo("id: 1\ndata: a\n\n");
        relay.takeUp();
        assertThat(relay.hasRest()).isFalse();
        assertThat(accept("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertThat(relay.lastId()).isEqualTo(3);
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n", "data: a\n\n", "id: x\n\n"})
    void aRunThatDoesNotGoOnIsBroken(String event) {
        accept("id: 2\ndata: a\n\n");
        relay.takeUp();
        assertThat(accept(event)).isEmpty();
        assertThat(relay.isBroken()).isTrue();
        assertThat(accept("id: 3\n\n")).isEmpty();
    }

    @Test
    void eventsWithoutIdsCannotBeTakenUp() {
        assertThat(relay.canTakeUp()).isFalse();
        accept("data: a\n\n");
        assertThat(relay.canTakeUp()).isFalse();
        accept("id: 4\n\n");
        assertThat(relay.canTakeUp()).isTrue();
        accept("data: b\n\n");
        assertThat(relay.canTakeUp()).isFalse();
    }

    @Test
    void anEventWithoutAnEndIsBounded() {
        String part = "x".repeat(64 * 1024);
        for (int i = 0; i <= EventStreamAssembler.MOST_EVENT_BYTES / part.length(); i++) {
            accept(part);
        }
        assertThat(relay.isBroken()).isTrue();
    }
}
