package burlarch.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;

/**
 * The frames of one connection that its channel has not taken yet, in order. Small frames are written together. Owned
 * by the event loop.
 */
final class OutboundFrameQueue {
    private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
    private final int maxBytes;
    private int queuedBytes;
    /** How much of the first frame the channel has taken. */
    private int headWrittenBytes;

    /** @param maxBytes may be exceeded by one frame, so that a frame of any size can be sent */
    OutboundFrameQueue(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a frame; returns false, and adds nothing, if too much is queued already. */
    boolean add(byte[] frame) {
        if (queuedBytes > maxBytes) {
            return false;
        }
        frames.add(frame);
        queuedBytes += frame.length;
        return true;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /**
     * Writes until the queue is empty or the channel takes no more.
     *
     * @param scratch buffer in which frames are put together; its content is lost
     */
    void writeTo(WritableByteChannel channel, ByteBuffer scratch) throws IOException {
        while (!frames.isEmpty()) {
            fill(scratch);
            int offeredBytes = scratch.remaining();
            int writtenBytes = channel.write(scratch);
            remove(writtenBytes);
            if (writtenBytes < offeredBytes) {
                return;
            }
        }
    }

    private void fill(ByteBuffer scratch) {
        scratch.clear();
        int offset = headWrittenBytes;
        for (byte[] frame : frames) {
            int length = Math.min(frame.length - offset, scratch.remaining());
            scratch.put(frame, offset, length);
            offset = 0;
            if (!scratch.hasRemaining()) {
                break;
            }
        }
        scratch.flip();
    }

    private void remove(int writtenBytes) {
        queuedBytes -= writtenBytes;
        headWrittenBytes += writtenBytes;
        while (!frames.isEmpty() && headWrittenBytes >= frames.peek().length) {
            headWrittenBytes -= frames.poll().length;
        }
    }
}
