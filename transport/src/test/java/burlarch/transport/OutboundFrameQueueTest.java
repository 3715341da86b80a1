package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the queue with channels that accept only a part of the bytes of each write. */
class OutboundFrameQueueTest {
    private final ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();
    private int writeCount;

    /** Accepts a random number of bytes at each write, up to a limit. */
    private class PartialWriteChannel implements WritableByteChannel {
        private final Random random = new Random(7);
        private final int maxBytesPerWrite;

        PartialWriteChannel(int maxBytesPerWrite) {
            this.maxBytesPerWrite = maxBytesPerWrite;
        }

        @Override
        public int write(ByteBuffer source) {
            writeCount++;
            byte[] part = new byte[Math.min(source.remaining(), random.nextInt(maxBytesPerWrite + 1))];
            source.get(part);
            writtenBytes.writeBytes(part);
            return part.length;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // Nothing to close.
        }
    }

    @Test
    void everyByteIsWrittenOnceAndInOrder() throws Exception {
        OutboundFrameQueue queue = new OutboundFrameQueue(1 << 20);
        ByteArrayOutputStream queuedBytes = new ByteArrayOutputStream();
        Random random = new Random(3);
        PartialWriteChannel channel = new PartialWriteChannel(50);
        for (int i = 0; i < 300; i++) {
            byte[] frame = new byte[1 + random.nextInt(40)];
            random.nextBytes(frame);
            queuedBytes.writeBytes(frame);
            assertThat(queue.add(frame)).isTrue();
            queue.writeTo(channel, ByteBuffer.allocate(64));
        }
        while (!queue.isEmpty()) {
            queue.writeTo(channel, ByteBuffer.allocate(64));
        }
        assertThat(writtenBytes.toByteArray()).isEqualTo(queuedBytes.toByteArray());
    }

    @Test
    void smallFramesAreWrittenInOneCall() throws Exception {
        OutboundFrameQueue queue = new OutboundFrameQueue(1 << 20);
        for (int i = 0; i < 10; i++) {
            queue.add(new byte[20]);
        }
        queue.writeTo(
                new PartialWriteChannel(0) {
                    @Override
                    public int write(ByteBuffer source) {
                        writeCount++;
                        int acceptedBytes = source.remaining();
                        source.position(source.limit());
                        return acceptedBytes;
                    }
                },
                ByteBuffer.allocate(1_000));
        assertThat(queue.isEmpty()).isTrue();
        assertThat(writeCount).isEqualTo(1);
    }

    @Test
    void oneFrameMayExceedTheLimitAndFurtherFramesAreRejected() throws Exception {
        OutboundFrameQueue queue = new OutboundFrameQueue(100);
        assertThat(queue.add(new byte[5_000])).isTrue();
        assertThat(queue.add(new byte[1])).isFalse();
        while (!queue.isEmpty()) {
            queue.writeTo(new PartialWriteChannel(2_000), ByteBuffer.allocate(1_000));
        }
        assertThat(queue.add(new byte[1])).isTrue();
    }
}
