package burlarch.coordination.membership;

/** Whole tables, asked for at the start and where another's differs though no news is under way. */
final class AntiEntropy {
    private static final int MAX_BACKOFF_FACTOR = 16;
    private static final int STARTUP_PERIODS = 8;
    private static final int MAX_RESPONSES_PER_PERIOD = 16;

    private final SwimSettings settings;
    private final MembershipView beliefs;
    private final OutgoingDatagrams outbound;
    private final long startedAtNanos;
    private long nextRequestAtNanos;
    private long digestAtRequest;
    private int backoffFactor = 1;
    private int responsesInPeriod;

    AntiEntropy(SwimSettings settings, MembershipView beliefs, OutgoingDatagrams outbound, long now) {
        this.settings = settings;
        this.beliefs = beliefs;
        this.outbound = outbound;
        startedAtNanos = now;
        nextRequestAtNanos = now;
    }

    /** Called once a period. */
    void onPeriod() {
        responsesInPeriod = 0;
    }

    /** Asks for the other's table unless another was asked just before. */
    void requestSync(String to, long now) {
        if (now - nextRequestAtNanos < 0) {
            return;
        }
        boolean inVain = digestAtRequest == beliefs.table().digest();
        backoffFactor = inVain ? Math.min(MAX_BACKOFF_FACTOR, backoffFactor * 2) : 1;
        digestAtRequest = beliefs.table().digest();
        nextRequestAtNanos =
                now + (isUrgent(now) ? settings.probePeriodNanos() : settings.minSyncIntervalNanos() * backoffFactor);
        outbound.syncRequest(to);
    }

    /** Asks for the other's table if it differs from the own one and news won't soon mend that. */
    void compareDigest(String from, SwimMessage.Header header, long now) {
        if (header.digest() != beliefs.table().digest() && (beliefs.isQuiet(now) || isUrgent(now))) {
            requestSync(from, now);
        }
    }

    /** Sends the whole table, at a bounded rate: who gets none asks again. */
    void onRequest(String from) {
        if (responsesInPeriod < MAX_RESPONSES_PER_PERIOD) {
            responsesInPeriod++;
            outbound.syncPages(from);
        }
    }

    /** Takes up a page or the claim that comes with a request; the first claim is the sender's own. */
    void onUpdates(SwimMessage message, long now) {
        boolean first = true;
        for (MemberUpdate claim : message.updates()) {
            if (first) {
                beliefs.onGossip(claim, now);
                first = false;
            } else {
                beliefs.onSyncedEntry(claim, now);
            }
        }
    }

    /** When news alone would take long: at the own start, or where much changed at once. */
    private boolean isUrgent(long now) {
        return beliefs.isGossipBacklogged() || now - startedAtNanos < STARTUP_PERIODS * settings.probePeriodNanos();
    }
}
