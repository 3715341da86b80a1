package burlarch.router;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.BufferUtil;

/** A few buffers for answers, kept for use by the next. One not given back is left to the collector. */
final class InputBufferPool {
    private static final int BYTES = 8192;
    private static final int MOST_KEPT = 64;

    private final ArrayDeque<ByteBuffer> kept = new ArrayDeque<>();

    /** An empty buffer, ready to be flushed. */
    synchronized ByteBuffer take() {
        ByteBuffer buffer = kept.poll();
        return buffer == null ? BufferUtil.allocate(BYTES) : buffer;
    }

    synchronized void giveBack(ByteBuffer buffer) {
        if (kept.size() < MOST_KEPT) {
            BufferUtil.clear(buffer);
            kept.push(buffer);
        }
    }
}
