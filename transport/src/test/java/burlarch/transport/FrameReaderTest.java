package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests splitting a byte stream into messages. */
class FrameReaderTest {
    private final FrameCodec codec = new FrameCodec();
    private final FrameReader reader = new FrameReader(codec);

    private List<NodeMessage> read(byte[] stream, int chunkBytes) throws FrameException {
        List<NodeMessage> messages = new ArrayList<>();
        for (int start = 0; start < stream.length; start += chunkBytes) {
            ByteBuffer chunk = ByteBuffer.wrap(stream, start, Math.min(chunkBytes, stream.length - start));
            for (NodeMessage next = reader.next(chunk); next != null; next = reader.next(chunk)) {
                messages.add(next);
            }
            assertThat(chunk.hasRemaining()).isFalse();
        }
        return messages;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 64, 1_000, 1 << 20})
    void chunksOfAnySizeGiveTheSameMessages(int chunkBytes) throws Exception {
        reader.allowLargeFrames();
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        List<NodeMessage> sent = new ArrayList<>(SampleMessages.all().toList());
        sent.add(new NodeMessage.ConfigurationUpdate(5, new byte[30_000]));
        for (NodeMessage message : sent) {
            stream.writeBytes(codec.encode(message));
        }
        assertThat(read(stream.toByteArray(), chunkBytes))
                .usingRecursiveComparison()
                .isEqualTo(sent);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, FrameCodec.MAX_FRAME_BYTES + 1, Integer.MIN_VALUE, Integer.MAX_VALUE})
    void invalidLengthsAreRejected(int length) {
        reader.allowLargeFrames();
        byte[] header = ByteBuffer.allocate(4).putInt(length).array();
        assertThatThrownBy(() -> read(header, 4)).isInstanceOf(FrameException.class);
    }

    @Test
    void largeFrameIsRejectedUntilLargeFramesAreAllowed() {
        byte[] frame = codec.encode(new NodeMessage.ConfigurationUpdate(5, new byte[30_000]));
        assertThatThrownBy(() -> read(frame, 1_000)).isInstanceOf(FrameException.class);
    }
}
