package burlarch.router.upstream;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Bounded pool of buffers for received responses. A buffer that is not returned is garbage collected.
 * May be called on any thread; guarded by this.
 */
final class InputBufferPool {
    private static final int BUFFER_BYTES = 8192;
    private static final int MAX_POOLED = 64;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();

    /** Takes an empty buffer, in Jetty's flush mode, from the pool, or allocates one. */
    synchronized ByteBuffer take() {
        ByteBuffer buffer = pooled.poll();
        return buffer == null ? BufferUtil.allocate(BUFFER_BYTES) : buffer;
    }

    /** Returns a buffer to the pool; drops it if the pool is full. */
    synchronized void release(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED) {
            BufferUtil.clear(buffer);
            pooled.push(buffer);
        }
    }
}
