package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Frames as the release before wrote them: nodes of both run in one fleet. */
class FrameGoldenTest {
    private static final GoldenFiles FRAMES = new GoldenFiles("frames");

    private final FrameCodec codec = new FrameCodec();

    static Stream<String> names() {
        return GoldenMessages.examples().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void aFrameOfTheReleaseBeforeIsRead(String name) throws FrameException {
        byte[] frame = FRAMES.bytes(name);

        NodeMessage read = codec.decode(frame, FrameCodec.HEADER_BYTES, frame.length - FrameCodec.HEADER_BYTES);

        assertThat(read)
                .usingRecursiveComparison()
                .isEqualTo(GoldenMessages.examples().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aMessageIsWrittenAsTheReleaseBeforeDid(String name) {
        byte[] written = codec.encode(GoldenMessages.examples().get(name));

        assertThat(written).isEqualTo(FRAMES.bytes(name));
    }

    @Test
    void everyKindOfMessageHasAGoldenFrame() {
        Set<Class<?>> covered = new HashSet<>();
        for (NodeMessage message : GoldenMessages.examples().values()) {
            covered.add(
                    message instanceof NodeMessage.RegisterProtocol register
                            ? register.message().getClass()
                            : message.getClass());
        }
        Set<Class<?>> kinds = new HashSet<>(Arrays.asList(NodeMessage.class.getPermittedSubclasses()));
        kinds.remove(NodeMessage.RegisterProtocol.class);
        kinds.addAll(Arrays.asList(NodeMessage.RegisterProtocol.class
                .getRecordComponents()[0]
                .getType()
                .getPermittedSubclasses()));
        assertThat(covered).isEqualTo(kinds);
    }

    @Test
    void everyGoldenFrameHasAnExample() {
        assertThat(FRAMES.hexNames())
                .containsExactlyInAnyOrderElementsOf(GoldenMessages.examples().keySet());
    }
}
