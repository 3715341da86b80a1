package burlarch.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;

/**
 * Queue of the frames of one connection that are not written to its channel yet. Small frames are written together.
 * Owned by the event loop.
 */
final class OutboundFrameQueue {
    private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
    private final int maxBytes;
    private int queuedBytes;
    /** Number of bytes of the first frame that are already written. */
    private int firstFrameWrittenBytes;

    /** @param maxBytes limit of the queued bytes; one frame may exceed it, so that a frame of any size can be sent */
    OutboundFrameQueue(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a frame; returns false, and adds nothing, if the queue already exceeds its limit. */
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
     * Writes until the queue is empty or the channel accepts no more bytes.
     *
     * @param scratch buffer in which frames are combined; its content is overwritten
     */
    void writeTo(WritableByteChannel channel, ByteBuffer scratch) throws IOException {
        while (!frames.isEmpty()) {
            copyFramesTo(scratch);
            int offeredBytes = scratch.remaining();
            int writtenBytes = channel.write(scratch);
            removeWritten(writtenBytes);
            if (writtenBytes < offeredBytes) {
                return;
            }
        }
    }

    private void copyFramesTo(ByteBuffer scratch) {
        scratch.clear();
        int offset = firstFrameWrittenBytes;
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

    private void removeWritten(int writtenBytes) {
        queuedBytes -= writtenBytes;
        firstFrameWrittenBytes += writtenBytes;
        while (!frames.isEmpty() && firstFrameWrittenBytes >= frames.peek().length) {
            firstFrameWrittenBytes -= frames.poll().length;
        }
    }
}
