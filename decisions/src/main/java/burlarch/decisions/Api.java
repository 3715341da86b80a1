package burlarch.decisions;

import java.util.List;

/**
 * Interface between the decision module ({@link Policy}) and its host: the settings passed at start, the events
 * that the host reports and the {@link Actions} that the module may take.
 *
 * <p>All times are nanoseconds of one monotonic clock of arbitrary origin. The host passes the time with every
 * event; the module reads no clock of its own.
 */
public final class Api {
    /** Number of a request class, tenant, zone or machine kind that the settings do not name. */
    public static final int UNKNOWN = -1;

    private Api() {}

    /** Whether a request may safely be attempted again: free of effects, deduplicated by a token, or unsafe. */
    public enum Repeat {
        PURE,
        TOKEN,
        SIDE_EFFECT
    }

    /** The group of servers that deduplicates the repeats of a {@link Repeat#TOKEN} request. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Lifecycle stage of a server in the server list: in service, draining, or gone. */
    public enum Stage {
        IN,
        LAME,
        OUT
    }

    /**
     * Meaning of the entries of a server list event: changed entries only, a complete list, a complete list that
     * was stored earlier and may be stale, or no entries as discovery cannot be reached.
     */
    public enum ListKind {
        UPDATE,
        REPLACE,
        RESTORED,
        UNAVAILABLE
    }

    /** How an attempt ended. */
    public enum Outcome {
        /** Answered successfully. */
        GOOD(false),
        /** Answered with an error. */
        BAD(false),
        /** Refused by a server without capacity for a further request. */
        FULL(true),
        /** Not answered in time. */
        LATE(false),
        /** Not sent, as no connection could be opened in time. */
        NOCONN(true),
        /** The connection broke after the request had been sent. */
        RST(false),
        /** Cancelled by this proxy after it had been sent. */
        CXL(false),
        /** Never sent, as the request had been answered, withdrawn or timed out before. */
        NOP(true),
        /** Answered by a cache that does not hold the key. */
        MISS(true),
        /** Refused by a server that cannot accept a further connection. */
        CROWDED(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of requests.
     *
     * @param targetNanos target latency of a request without a work hint
     * @param targetPerWork added target latency for each nanosecond of the work hint
     * @param deduplicationNanos how long servers remember the token of a {@link Repeat#TOKEN} request
     * @param worth value of an answer within the target latency
     * @param lateWorth value of an answer after the target latency
     */
    public record RequestClass(
            String name,
            long targetNanos,
            double targetPerWork,
            Repeat repeat,
            Scope scope,
            long deduplicationNanos,
            double worth,
            double lateWorth) {}

    /** A tenant with its share of the capacity and the request rate that it was promised, over all proxies. */
    public record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * What the site permits.
     *
     * @param attemptCap most attempts of one request
     * @param cancel whether attempts may be cancelled
     * @param duplicates whether two attempts of a request may be in flight at once
     * @param retryAfter whether a refusal may say when to retry
     * @param idleCloseNanos idle time after which a connection is closed
     */
    public record Limits(
            int attemptCap,
            boolean cancel,
            boolean duplicates,
            boolean retryAfter,
            long maxRetryAfterNanos,
            long connectTimeoutNanos,
            long idleCloseNanos) {}

    /** What the site charges for a new connection and for a hundred open connections to a server. */
    public record Charges(double perHandshake, double perHundredConnections) {}

    /**
     * Limits that the site imposes on proxies.
     *
     * @param coldStartFraction part of its full work that a server can do when it starts
     * @param warmUpNanos time from its start until a server can do its full work
     * @param overloadMultiple multiple of its current capacity that overloads a warming server
     * @param overloadWindowNanos window over which that load is measured
     * @param maxListAgeNanos longest time without a call to discovery for a proxy without a subscription
     */
    public record Obligations(
            double coldStartFraction,
            long warmUpNanos,
            double overloadMultiple,
            long overloadWindowNanos,
            long maxListAgeNanos) {}

    /**
     * Settings of one instance of the module.
     *
     * @param proxies number of proxies in the fleet, including this one
     * @param asksForList whether the module has to subscribe to the server list
     * @param originKind machine kind of the origin servers; all others are caches
     * @param quantumNanos resolution of the host's timers
     */
    public record Settings(
            int proxies,
            boolean asksForList,
            int originKind,
            long quantumNanos,
            Limits limits,
            Charges charges,
            Obligations obligations,
            List<RequestClass> classes,
            List<Tenant> tenants) {}

    /**
     * One entry of the server list.
     *
     * @param bootNanos start time, 0 for a server that started long ago
     * @param size relative capacity
     * @param kind machine kind
     */
    public record Server(long id, long bootNanos, double size, int cell, Stage stage, int kind, int zone) {}

    /**
     * A client's request.
     *
     * @param id unique and not negative
     * @param key digest of the key, meaningless unless {@code keyed}
     * @param workNanos hint of the work that the request takes, 0 without a hint
     */
    public record Request(
            long id,
            int requestClass,
            int tenant,
            boolean keyed,
            long key,
            long deadlineNanos,
            long workNanos,
            boolean write) {}

    /**
     * The end of one attempt.
     *
     * @param attempt position among the attempts of the request, from 0
     * @param finished whether the request has had its final answer
     * @param elapsedNanos time since the attempt was sent
     */
    public record Ended(long request, int attempt, long server, Outcome outcome, boolean finished, long elapsedNanos) {}

    /** What the module may do. Each call takes effect at the time of the event that is being handled. */
    public interface Actions {
        /** Sends an attempt of a request to a server; the host gives it up at {@code abandonAtNanos}. */
        void send(long request, long server, long abandonAtNanos);

        /** Cancels an attempt that is in flight. */
        void cancel(long request, int attempt);

        /** Final answer: refused, and a retry is safe; {@code retryAfterNanos} is 0 for no retry time. */
        void refuse(long request, long retryAfterNanos);

        /** Final answer: failed, and the request may have had an effect. */
        void fail(long request);

        /** Requests a call of {@link Policy#onTimer} with this token after a delay. */
        void timer(long delayNanos, long token);

        /** Closes the idle connections of this proxy to a server. */
        void closeIdleConnections(long server);

        /** From now on, closes connections of this proxy to a server once they have been idle that long. */
        void trim(long server, long idleNanos);

        /** Subscribes to changes of the server list. */
        void watchList();

        /** Writes a line to the log of the host. */
        void log(String text);
    }
}
