package burlarch.router.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How long instances leave idle connections open, learned from those that they closed earlier than they announce. A
 * request on a connection that its peer has just closed may or may not have run, so that a request which must not run
 * twice is lost with it; therefore connections aren't used once they have been idle for about as long as one that was
 * closed.
 *
 * <p>The limit of an address falls to a fraction of the shortest time that was seen, and doubles for each
 * period without
 * another early close until it no longer matters. May be called on any thread; guarded by this.
 */
final class IdleLifetimes {
    /** Fraction of the time after which a connection was closed during which others are used. */
    private static final double SAFE_FRACTION = 0.5;

    private static final long RECOVERY_PERIOD_NANOS = 20_000_000_000L;
    /** A limit above this is forgotten: no connection stays idle for so long. */
    private static final long MAX_LIMIT_NANOS = 3_600_000_000_000L;
    /** Bound of the remembered addresses; the one that was learned first is forgotten. */
    private static final int MAX_ADDRESSES = 1_024;

    private record Limit(long idleNanos, long learnedNanos) {
        long at(long nowNanos) {
            long periods = Math.max(0, nowNanos - learnedNanos) / RECOVERY_PERIOD_NANOS;
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
     * An instance closed a connection on which nothing was in flight, or reset it at its next use.
     *
     * @param idleNanos how long the connection had been idle
     */
    synchronized void onClosedByPeer(String address, long idleNanos, long nowNanos) {
        long safeNanos = Math.max(1, (long) (idleNanos * SAFE_FRACTION));
        if (safeNanos < limitNanos(address, nowNanos)) {
            limits.put(address, new Limit(safeNanos, nowNanos));
        }
    }

    /** For how long a connection to the address may have been idle and still be used. */
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
