package burlarch.audit;

import java.util.Map;

/**
 * The limits that the audit applies.
 *
 * @param maxAttempts          maximum number of attempts of a request
 * @param drainGraceNanos      how long after the announcement of a drain a proxy may still send to the node
 * @param slackNanos           tolerance on each time limit for socket delays and a busy machine
 * @param coldStartMultiple    how many times its present capacity a cold node may be sent ...
 * @param coldStartWindowNanos ... over any window of this length
 * @param promptResponseNanos  maximum delay of a refusal or failure after the last attempt ended; applies late in the
 *                             request's timeout only
 * @param classes              repeat policies by class name; a class without an entry must never be repeated
 */
public record Rules(
        int maxAttempts,
        long drainGraceNanos,
        long slackNanos,
        double coldStartMultiple,
        long coldStartWindowNanos,
        long promptResponseNanos,
        Map<String, Repeat> classes) {
    /**
     * Whether requests of a class may be repeated after an attempt that may have been executed.
     *
     * @param kind            repeatable at any time, within {@code memorySpanNanos}, or never
     * @param memorySpanNanos for {@link Kind#TOKEN}: how long the origin deduplicates by idempotency key, from the
     *                        first attempt that may have been executed
     */
    public record Repeat(Kind kind, long memorySpanNanos) {
        /** The protocol's repeat policies pure, token and side_effect. */
        public enum Kind {
            PURE,
            TOKEN,
            SIDE_EFFECT
        }
    }

    static final Repeat NEVER = new Repeat(Repeat.Kind.SIDE_EFFECT, 0);

    public Rules {
        classes = Map.copyOf(classes);
    }

    /** Returns the limits of the platform's specification, with these repeat policies. */
    public static Rules standard(Map<String, Repeat> classes) {
        return new Rules(5, 750_000_000L, 50_000_000L, 3, 3_000_000_000L, 500_000_000L, classes);
    }
}
