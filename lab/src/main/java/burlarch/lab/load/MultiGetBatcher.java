package burlarch.lab.load;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Batches reads of one tenant to one proxy into a multi-get, which is sent when it is full or its first read has
 * waited long enough. Holds at most one open multi-get for each proxy and tenant. Confined to its event loop.
 */
final class MultiGetBatcher {
    private static final double NANOS_PER_MS = 1e6;

    /** Key of the reads that may share a multi-get. */
    private record BatchKey(ConnectionPool pool, int tenant) {}

    private final Map<BatchKey, MultiGet> openBatches = new HashMap<>();
    private final EventLoop loop;
    private final int maxLines;
    private final long waitNanos;

    MultiGetBatcher(LoadPlan plan, EventLoop loop) {
        this.loop = loop;
        this.maxLines = plan.batch();
        this.waitNanos = (long) (plan.batchWaitMs() * NANOS_PER_MS);
    }

    void add(PendingRequest request) {
        BatchKey batchKey = new BatchKey(request.pool, request.planned.tenant());
        MultiGet multiGet = openBatches.computeIfAbsent(batchKey, key -> new MultiGet(key.pool, key.tenant));
        multiGet.add(request);
        if (multiGet.lines.size() >= maxLines) {
            send(batchKey, multiGet);
        } else if (multiGet.lines.size() == 1) {
            loop.schedule(() -> send(batchKey, multiGet), waitNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void send(BatchKey batchKey, MultiGet multiGet) {
        if (openBatches.remove(batchKey, multiGet)) {
            batchKey.pool.dispatch(multiGet);
        }
    }
}
