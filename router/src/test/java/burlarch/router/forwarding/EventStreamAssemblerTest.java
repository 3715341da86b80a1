package burlarch.router.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Release of complete events, and continuation of a stream by another run. */
class EventStreamAssemblerTest {
    private final EventStreamAssembler assembler = new EventStreamAssembler();

    private String accept(String text) {
        return text(assembler.accept(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8))));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 1000})
    void completeEventsAreReleasedHoweverTheStreamIsSplit(int stepBytes) {
        String stream =
                "id: 1\ndata: a\n\nversions: 7\nid: 2\r\ndata: b\r\n\r\n" + ": note\n\nid:33\ndata: c\n\nid: 34\nda";
        StringBuilder released = new StringBuilder();
        for (int offset = 0; offset < stream.length(); offset += stepBytes) {
            String releasedNow = accept(stream.substring(offset, Math.min(stream.length(), offset + stepBytes)));
            assertThat(releasedNow.isEmpty() || releasedNow.endsWith("\n")).isTrue();
            released.append(releasedNow);
        }
        assertThat(released.toString()).isEqualTo(stream.substring(0, stream.lastIndexOf("id: 34")));
        assertThat(assembler.lastEventId()).isEqualTo(33);
        assertThat(assembler.takeWeightsVersion()).isEqualTo(7);
        assertThat(assembler.takeWeightsVersion()).isZero();
        assertThat(assembler.canResume()).isTrue();
        assertThat(text(assembler.releaseIncompleteEvent())).isEqualTo("id: 34\nda");
    }

    @Test
    void anotherRunContinuesAfterTheLastCompleteEvent() {
        assertThat(accept("id: 1\ndata: a\n\nid: 2\ndata: half")).isEqualTo("id: 1\ndata: a\n\n");
        assembler.startNextRun();
        assertThat(assembler.hasIncompleteEvent()).isFalse();
        assertThat(accept("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertThat(assembler.lastEventId()).isEqualTo(3);
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n", "data: a\n\n", "id: x\n\n"})
    void runThatDoesNotFollowTheLastEventIsInvalid(String event) {
        accept("id: 2\ndata: a\n\n");
        assembler.startNextRun();
        assertThat(accept(event)).isEmpty();
        assertThat(assembler.isInvalid()).isTrue();
        assertThat(accept("id: 3\n\n")).isEmpty();
    }

    @Test
    void eventsWithoutIdsCannotBeResumed() {
        assertThat(assembler.canResume()).isFalse();
        accept("data: a\n\n");
        assertThat(assembler.canResume()).isFalse();
        accept("id: 4\n\n");
        assertThat(assembler.canResume()).isTrue();
        accept("data: b\n\n");
        assertThat(assembler.canResume()).isFalse();
    }

    @Test
    void eventAboveTheSizeLimitIsInvalid() {
        String chunk = "x".repeat(64 * 1024);
        for (int i = 0; i <= EventStreamAssembler.MAX_EVENT_BYTES / chunk.length(); i++) {
            accept(chunk);
        }
        assertThat(assembler.isInvalid()).isTrue();
    }
}
