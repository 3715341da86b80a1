package burlarch.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;

/** Frames that wait for their connection to take them. Small ones leave together. */
final class OutboundFrameQueue {
    private final ArrayDeque<byte[]> frames = new ArrayDeque<>();
    private final int maxBytes;
    private int bytes;
    private int headWritten;

    /** @param maxBytes may be exceeded by one frame, so that one of any size can be sent */
    OutboundFrameQueue(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** False where too much waits already. */
    boolean add(byte[] frame) {
        if (bytes > maxBytes) {
            return false;
        }
        frames.add(frame);
        bytes += frame.length;
        return true;
    }

    boolean isEmpty() {
        return frames.isEmpty();
    }

    /**
     * Writes until all is out or the channel takes no more.
     *
     * @param scratch where frames are put together; its content is lost
     */
    void writeTo(WritableByteChannel channel, ByteBuffer scratch) throws IOException {
        while (!frames.isEmpty()) {
            fill(scratch);
            int offered = scratch.remaining();
            int written = channel.write(scratch);
            remove(written);
            if (written < offered) {
                return;
            }
        }
    }

    private void fill(ByteBuffer scratch) {
        scratch.clear();
        int skip = headWritten;
        for (byte[] frame : frames) {
            int part = Math.min(frame.length - skip, scratch.remaining());
            scratch.put(frame, skip, part);
            skip = 0;
            if (!scratch.hasRemaining()) {
                break;
            }
        }
        scratch.flip();
    }

    private void remove(int written) {
        bytes -= written;
        headWritten += written;
        while (!frames.isEmpty() && headWritten >= frames.peek().length) {
            headWritten -= frames.poll().length;
        }
    }
}
