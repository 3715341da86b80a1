package burlarch.router.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learned idle timeouts of instances: for how long an idle connection to an address may be reused. Instances may close
 * idle connections earlier than they announce. A request sent on a connection that its peer has just closed may or may
 * not have been executed, so a request that must not be executed twice cannot be retried. Therefore a connection is not
 * reused once it has been idle for about as long as one that the peer closed early.
 *
 * <p>The limit of an address falls to a fraction of the shortest observed idle time, and doubles for each recovery
 * period without another early close until it exceeds {@link #MAX_LIMIT_NANOS} and is forgotten. May be called on any
 * thread; guarded by this.
 */
final class LearnedIdleTimeouts {
    /** The limit, as a fraction of the idle time after which the peer closed a connection. */
    private static final double LIMIT_FRACTION = 0.5;

    /** The limit doubles once per period without an early close. */
    private static final long RECOVERY_PERIOD_NANOS = 20_000_000_000L;
    /** A limit above this is forgotten: no connection stays idle for this long. */
    private static final long MAX_LIMIT_NANOS = 3_600_000_000_000L;
    /** Maximum number of remembered addresses; beyond it the address that was learned first is forgotten. */
    private static final int MAX_ADDRESSES = 1_024;

    private record Limit(long idleNanos, long learnedAtNanos) {
        long at(long nowNanos) {
            long periods = Math.max(0, nowNanos - learnedAtNanos) / RECOVERY_PERIOD_NANOS;
            return periods >= Long.SIZE - 2 || idleNanos > MAX_LIMIT_NANOS >> periods
                    ? MAX_LIMIT_NANOS
                    : idleNanos << periods;
        }
    }

    private final Map<String, Limit> limits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Limit> eldest) {
            return size() > MAX_ADDRESSES;
        }
    };

    /**
     * Called when an instance closed a connection with no request in flight, or reset it at its next use.
     *
     * @param address address of the instance
     * @param idleNanos how long the connection had been idle
     * @param nowNanos current time of the monotonic clock
     */
    synchronized void onClosedByPeer(String address, long idleNanos, long nowNanos) {
        long newLimitNanos = Math.max(1, (long) (idleNanos * LIMIT_FRACTION));
        if (newLimitNanos < limitNanos(address, nowNanos)) {
            limits.put(address, new Limit(newLimitNanos, nowNanos));
        }
    }

    /** Maximum idle time, in nanoseconds, after which a connection to the address may still be reused. */
    synchronized long limitNanos(String address, long nowNanos) {
        Limit limit = limits.get(address);
        if (limit == null) {
            return MAX_LIMIT_NANOS;
        }
        long nanos = limit.at(nowNanos);
        if (nanos >= MAX_LIMIT_NANOS) {
            limits.remove(address);
        }
        return nanos;
    }
}
