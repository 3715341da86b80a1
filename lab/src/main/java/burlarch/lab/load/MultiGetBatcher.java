package burlarch.lab.load;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Gathers reads of one tenant to one proxy, and sends them once there are enough or the first has waited long
 * enough. Holds no more than one multi-get for each proxy and tenant. Confined to its loop.
 */
final class MultiGetBatcher {
    private static final double NANOS_PER_MS = 1e6;

    /** Reads that may go together. */
    private record Group(ConnectionPool pool, int tenant) {}

    private final Map<Group, MultiGet> gathering = new HashMap<>();
    private final EventLoop loop;
    private final int linesMost;
    private final long waitNanos;

    MultiGetBatcher(LoadPlan plan, EventLoop loop) {
        this.loop = loop;
        this.linesMost = plan.batch();
        this.waitNanos = (long) (plan.batchWaitMs() * NANOS_PER_MS);
    }

    void add(PendingRequest request) {
        Group group = new Group(request.pool, request.planned.tenant());
        MultiGet multiGet = gathering.computeIfAbsent(group, key -> new MultiGet(key.pool, key.tenant));
        multiGet.add(request);
        if (multiGet.lines.size() >= linesMost) {
            send(group, multiGet);
        } else if (multiGet.lines.size() == 1) {
            loop.schedule(() -> send(group, multiGet), waitNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void send(Group group, MultiGet multiGet) {
        if (gathering.remove(group, multiGet)) {
            group.pool.dispatch(multiGet);
        }
    }
}
