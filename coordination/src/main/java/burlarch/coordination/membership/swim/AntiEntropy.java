package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimMessage;

/**
 * The push-pull anti-entropy of a member: requests another member's whole table at the start, and when digests differ
 * although no gossip is pending. Requests back off while they bring nothing new; responses are bounded per period.
 */
final class AntiEntropy {
    private static final int MAX_BACKOFF_FACTOR = 16;
    private static final int STARTUP_PERIODS = 8;
    private static final int MAX_RESPONSES_PER_PERIOD = 16;

    private final SwimSettings settings;
    private final MembershipView view;
    private final OutgoingDatagrams outgoing;
    private final long startedAtNanos;
    private long nextRequestAtNanos;
    private long digestAtRequest;
    private int backoffFactor = 1;
    private int responsesInPeriod;

    AntiEntropy(SwimSettings settings, MembershipView view, OutgoingDatagrams outgoing, long nowNanos) {
        this.settings = settings;
        this.view = view;
        this.outgoing = outgoing;
        startedAtNanos = nowNanos;
        nextRequestAtNanos = nowNanos;
    }

    /** Resets the bound on responses. Called once per probe period. */
    void onPeriod() {
        responsesInPeriod = 0;
    }

    /** Requests a member's table unless the last request was too recent. */
    void requestSync(String to, long nowNanos) {
        if (nowNanos - nextRequestAtNanos < 0) {
            return;
        }
        boolean lastRequestChangedNothing = digestAtRequest == view.table().digest();
        backoffFactor = lastRequestChangedNothing ? Math.min(MAX_BACKOFF_FACTOR, backoffFactor * 2) : 1;
        digestAtRequest = view.table().digest();
        nextRequestAtNanos = nowNanos + intervalNanos(nowNanos);
        outgoing.syncRequest(to);
    }

    /** Requests the sender's table if its digest differs and gossip is not about to make the tables equal. */
    void compareDigest(String from, SwimMessage.Header header, long nowNanos) {
        boolean differs = header.digest() != view.table().digest();
        if (differs && (view.isQuiet(nowNanos) || isUrgent(nowNanos))) {
            requestSync(from, nowNanos);
        }
    }

    /**
     * Sends the whole table unless too many requesters received it in this period; a requester without a response
     * asks again.
     */
    void onRequest(String from) {
        if (responsesInPeriod < MAX_RESPONSES_PER_PERIOD) {
            responsesInPeriod++;
            outgoing.syncPages(from);
        }
    }

    /** Applies a page, or the update of a request. The first update is the sender's own and is treated as gossip. */
    void onUpdates(SwimMessage message, long nowNanos) {
        boolean first = true;
        for (MemberUpdate update : message.updates()) {
            if (first) {
                view.onGossip(update, nowNanos);
                first = false;
            } else {
                view.onSyncedEntry(update, nowNanos);
            }
        }
    }

    private long intervalNanos(long nowNanos) {
        return isUrgent(nowNanos) ? settings.probePeriodNanos() : settings.minSyncIntervalNanos() * backoffFactor;
    }

    /** Returns whether gossip alone would take long: after the start of this member, or when much changed at once. */
    private boolean isUrgent(long nowNanos) {
        return view.isGossipBacklogged() || nowNanos - startedAtNanos < STARTUP_PERIODS * settings.probePeriodNanos();
    }
}
