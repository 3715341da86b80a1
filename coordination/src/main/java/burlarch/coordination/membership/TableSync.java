package burlarch.coordination.membership;

/** Whole tables, asked for at the start and where another's differs though no news is under way. */
final class TableSync {
    private static final int MAX_PAUSE_FACTOR = 16;
    private static final int START_PERIODS = 8;
    private static final int MAX_ANSWERS_PER_PERIOD = 16;

    private final SwimSettings settings;
    private final Beliefs beliefs;
    private final Outbound outbound;
    private final long startedAt;
    private long nextRequest;
    private long digestAtRequest;
    private int pauseFactor = 1;
    private int answers;

    TableSync(SwimSettings settings, Beliefs beliefs, Outbound outbound, long now) {
        this.settings = settings;
        this.beliefs = beliefs;
        this.outbound = outbound;
        startedAt = now;
        nextRequest = now;
    }

    /** Called once a period. */
    void onPeriod() {
        answers = 0;
    }

    /** Asks for the other's table unless another was asked just before. */
    void request(String to, long now) {
        if (now - nextRequest < 0) {
            return;
        }
        boolean inVain = digestAtRequest == beliefs.table().digest();
        pauseFactor = inVain ? Math.min(MAX_PAUSE_FACTOR, pauseFactor * 2) : 1;
        digestAtRequest = beliefs.table().digest();
        nextRequest = now + (hurried(now) ? settings.probePeriod() : settings.syncPause() * pauseFactor);
        outbound.syncRequest(to);
    }

    /** Asks for the other's table if it differs from the own one and news won't soon mend that. */
    void compare(String from, SwimMessage.Header header, long now) {
        if (header.digest() != beliefs.table().digest() && (beliefs.quiet(now) || hurried(now))) {
            request(from, now);
        }
    }

    /** Sends the whole table, at a bounded rate: who gets none asks again. */
    void onRequest(String from) {
        if (answers < MAX_ANSWERS_PER_PERIOD) {
            answers++;
            outbound.pages(from);
        }
    }

    /** Takes up a page or the claim that comes with a request; the first claim is the sender's own. */
    void onClaims(SwimMessage message, long now) {
        boolean first = true;
        for (MemberClaim claim : message.claims()) {
            if (first) {
                beliefs.learn(claim, now);
                first = false;
            } else {
                beliefs.learnFromTable(claim, now);
            }
        }
    }

    /** When news alone would take long: at the own start, or where much changed at once. */
    private boolean hurried(long now) {
        return beliefs.crowded() || now - startedAt < START_PERIODS * settings.probePeriod();
    }
}
