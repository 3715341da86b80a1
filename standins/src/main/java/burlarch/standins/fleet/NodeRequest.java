package burlarch.standins.fleet;

import burlarch.standins.model.Job;
import io.netty.channel.Channel;

/** One request at a node, from its first byte to its end there. Confined to the node's loop. */
final class Exchange extends Job {
    final Channel channel;
    final FleetPlan.Vantage vantage;
    final String id;
    final String requestClass;
    final String key;
    final boolean write;
    final String idempotencyKey;
    final long firstByteNanos;
    final long wholeNanos;
    /** Whether the answer is decided; what happens to the connection then changes nothing any more. */
    boolean over;
    /** At a cache: the value that it had when the request came, null for a miss. */
    byte[] hit;

    Exchange(
            Channel channel,
            FleetPlan.Vantage vantage,
            String id,
            String requestClass,
            String key,
            boolean write,
            String idempotencyKey,
            long workNanos,
            long firstByteNanos,
            long wholeNanos) {
        super(workNanos);
        this.channel = channel;
        this.vantage = vantage;
        this.id = id;
        this.requestClass = requestClass;
        this.key = key;
        this.write = write;
        this.idempotencyKey = idempotencyKey;
        this.firstByteNanos = firstByteNanos;
        this.wholeNanos = wholeNanos;
    }
}
