package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.coordination.register.RegisterMessage;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests encoding and decoding of messages, and rejection of bytes that are not a message. */
class FrameCodecTest {
    private final FrameCodec codec = new FrameCodec();

    static Stream<NodeMessage> messages() {
        return SampleMessages.all();
    }

    private NodeMessage decode(byte[] frame) throws FrameException {
        assertThat(ByteBuffer.wrap(frame).getInt()).isEqualTo(frame.length - FrameCodec.HEADER_BYTES);
        return codec.decode(frame, FrameCodec.HEADER_BYTES, frame.length - FrameCodec.HEADER_BYTES);
    }

    private NodeMessage decode(int typeNumber, Map<String, Object> body) throws FrameException, IOException {
        byte[] cbor = new ObjectMapper(new CBORFactory()).writeValueAsBytes(body);
        byte[] content = new byte[cbor.length + 1];
        content[0] = (byte) typeNumber;
        System.arraycopy(cbor, 0, content, 1, cbor.length);
        return codec.decode(content, 0, content.length);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void everyMessageIsDecodedAsItWasEncoded(NodeMessage message) throws FrameException {
        assertThat(decode(codec.encode(message))).usingRecursiveComparison().isEqualTo(message);
    }

    @Test
    void samplesCoverEveryMessageType() {
        Set<Class<?>> sampleTypes = new HashSet<>();
        messages()
                .forEach(message -> sampleTypes.add(
                        message instanceof NodeMessage.RegisterProtocol register
                                ? register.message().getClass()
                                : message.getClass()));
        assertThat(sampleTypes).contains(RegisterMessage.class.getPermittedSubclasses());
        List<Class<?>> messageTypes = new ArrayList<>(Arrays.asList(NodeMessage.class.getPermittedSubclasses()));
        messageTypes.remove(NodeMessage.RegisterProtocol.class);
        assertThat(sampleTypes).containsAll(messageTypes);
    }

    @Test
    void byteArraysAreEncodedWithoutOverhead() {
        byte[] json = new byte[10_000];
        assertThat(codec.encode(new NodeMessage.ConfigurationUpdate(1, json))).hasSizeLessThan(json.length + 64);
    }

    @Test
    void unknownFieldsAreIgnored() throws Exception {
        assertThat(decode(7, Map.of("version", 4, "colour", Map.of("name", "red"))))
                .isEqualTo(new NodeMessage.ConfigurationAck(4));
    }

    @Test
    void absentStringsListsAndBytesAreReadAsEmpty() throws Exception {
        assertThat(decode(1, Map.of("nodeName", "n"))).isEqualTo(new NodeMessage.Hello("n", "", "", "", "", ""));
        assertThat(decode(11, Map.of("routers", 2))).isEqualTo(new NodeMessage.FleetUpdate(List.of(), 2));
        assertThat(((NodeMessage.ConfigurationUpdate) decode(6, Map.of("version", 2))).json())
                .isEmpty();
    }

    @Test
    void messageWithoutRequiredProposalNumberOrStateIsRejected() {
        assertThatThrownBy(() -> decode(32, Map.of("call", 1))).isInstanceOf(FrameException.class);
        assertThatThrownBy(() -> decode(10, Map.of("instances", List.of(Map.of("id", "i")))))
                .isInstanceOf(FrameException.class);
        assertThatThrownBy(() -> decode(10, Map.of("instances", Arrays.asList((Object) null))))
                .isInstanceOf(FrameException.class);
        assertThatThrownBy(() -> decode(10, Map.of("instances", List.of(Map.of("state", "ASLEEP")))))
                .isInstanceOf(FrameException.class);
    }

    @Test
    void unknownTypeNumbersAndEmptyFramesAreRejected() {
        for (int typeNumber : new int[] {0, 63, 64, 255}) {
            assertThatThrownBy(() -> decode(typeNumber, Map.of()))
                    .isInstanceOf(FrameException.class)
                    .hasMessageContaining(String.valueOf(typeNumber));
        }
        assertThatThrownBy(() -> codec.decode(new byte[0], 0, 0)).isInstanceOf(FrameException.class);
        assertThatThrownBy(() -> codec.decode(new byte[] {2}, 0, 1)).isInstanceOf(FrameException.class);
    }

    @Test
    void truncatedAndOverlongBodiesAreRejected() {
        byte[] frame = codec.encode(SampleMessages.hello("r1"));
        int length = frame.length - FrameCodec.HEADER_BYTES;
        assertThatThrownBy(() -> codec.decode(frame, FrameCodec.HEADER_BYTES, length - 1))
                .isInstanceOf(FrameException.class);
        byte[] overlong = Arrays.copyOf(frame, frame.length + 1);
        assertThatThrownBy(() -> codec.decode(overlong, FrameCodec.HEADER_BYTES, length + 1))
                .isInstanceOf(FrameException.class);
    }

    @Test
    void corruptedBytesThrowFrameExceptionsOnly() {
        Random random = new Random(1);
        messages().map(codec::encode).forEach(frame -> {
            for (int trial = 0; trial < 200; trial++) {
                byte[] corrupted = frame.clone();
                corrupted[FrameCodec.HEADER_BYTES + random.nextInt(frame.length - FrameCodec.HEADER_BYTES)] =
                        (byte) random.nextInt();
                try {
                    assertThat(decode(corrupted)).isNotNull();
                } catch (FrameException e) {
                    assertThat(e.getMessage()).matches("(?s)(invalid body of|unknown|no body for) message type.*");
                }
            }
        });
    }

    @Test
    void messageLargerThanAFrameIsRejectedByEncode() {
        NodeMessage oversized = new NodeMessage.ConfigurationUpdate(1, new byte[FrameCodec.MAX_FRAME_BYTES]);
        assertThatThrownBy(() -> codec.encode(oversized)).isInstanceOf(IllegalArgumentException.class);
    }
}
