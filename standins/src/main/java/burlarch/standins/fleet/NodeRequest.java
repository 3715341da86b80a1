package burlarch.standins.fleet;

import burlarch.standins.model.Job;
import io.netty.channel.Channel;

/** One request at a node, from its first byte to its response or end. Confined to the node's event loop. */
final class NodeRequest extends Job {
    final Channel channel;
    final FleetPlan.ProxyPlan proxyPlan;
    final String id;
    final String requestClass;
    final String key;
    final boolean write;
    final String idempotencyKey;
    final long firstByteNanos;
    final long lastByteNanos;
    /** Whether the outcome is decided: later events on the connection no longer change it. */
    boolean ended;
    /** At a cache: the cached value when the request arrived; null for a miss. */
    byte[] cachedValue;

    NodeRequest(
            Channel channel,
            FleetPlan.ProxyPlan proxyPlan,
            String id,
            String requestClass,
            String key,
            boolean write,
            String idempotencyKey,
            long workNanos,
            long firstByteNanos,
            long lastByteNanos) {
        super(workNanos);
        this.channel = channel;
        this.proxyPlan = proxyPlan;
        this.id = id;
        this.requestClass = requestClass;
        this.key = key;
        this.write = write;
        this.idempotencyKey = idempotencyKey;
        this.firstByteNanos = firstByteNanos;
        this.lastByteNanos = lastByteNanos;
    }
}
