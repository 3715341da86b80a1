package burlarch.router.upstream;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.BufferUtil;

/**
 * A bounded pool of buffers for responses. A buffer that is not given back is left to the garbage collector.
 * May be called on any thread; guarded by this.
 */
final class InputBufferPool {
    private static final int BUFFER_BYTES = 8192;
    private static final int MAX_POOLED = 64;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();

    /** An empty buffer in flush mode. */
    synchronized ByteBuffer take() {
        ByteBuffer buffer = pooled.poll();
        return buffer == null ? BufferUtil.allocate(BUFFER_BYTES) : buffer;
    }

    synchronized void giveBack(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED) {
            BufferUtil.clear(buffer);
            pooled.push(buffer);
        }
    }
}
