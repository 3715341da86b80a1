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

/** Tests compatibility with frames written by the previous release, since nodes of both releases run in one fleet. */
class FrameGoldenTest {
    private static final GoldenFiles FRAMES = new GoldenFiles("frames");

    private final FrameCodec codec = new FrameCodec();

    static Stream<String> names() {
        return GoldenMessages.messagesByFileName().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void frameOfThePreviousReleaseIsRead(String name) throws FrameException {
        byte[] frame = FRAMES.bytes(name);

        NodeMessage read = codec.decode(frame, FrameCodec.HEADER_BYTES, frame.length - FrameCodec.HEADER_BYTES);

        assertThat(read)
                .usingRecursiveComparison()
                .isEqualTo(GoldenMessages.messagesByFileName().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void messageIsWrittenAsByThePreviousRelease(String name) {
        byte[] written = codec.encode(GoldenMessages.messagesByFileName().get(name));

        assertThat(written).isEqualTo(FRAMES.bytes(name));
    }

    @Test
    void everyMessageTypeHasAGoldenFrame() {
        Set<Class<?>> coveredTypes = new HashSet<>();
        for (NodeMessage message : GoldenMessages.messagesByFileName().values()) {
            coveredTypes.add(
                    message instanceof NodeMessage.RegisterProtocol register
                            ? register.message().getClass()
                            : message.getClass());
        }
        Set<Class<?>> messageTypes = new HashSet<>(Arrays.asList(NodeMessage.class.getPermittedSubclasses()));
        messageTypes.remove(NodeMessage.RegisterProtocol.class);
        messageTypes.addAll(Arrays.asList(NodeMessage.RegisterProtocol.class
                .getRecordComponents()[0]
                .getType()
                .getPermittedSubclasses()));
        assertThat(coveredTypes).isEqualTo(messageTypes);
    }

    @Test
    void everyGoldenFrameIsCompared() {
        assertThat(FRAMES.hexNames())
                .containsExactlyInAnyOrderElementsOf(
                        GoldenMessages.messagesByFileName().keySet());
    }
}
