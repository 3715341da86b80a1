package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.rollout.RolloutAction.MarkLoading;
import burlarch.coordination.rollout.RolloutAction.RequestReport;
import burlarch.coordination.rollout.RolloutAction.SendOrder;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One incarnation of an engine and the steps of its order. */
final class EngineRollout extends EngineStatus {
    /** Where the order stands. */
    enum Phase {
        /** None is out. */
        IDLE,
        /** Routers are being told; the order follows. */
        MARKED,
        /** Sent, without a result yet. */
        ORDERED,
        /** Taken, or perhaps taken: a report or a registration tells. */
        WAITING
    }

    private static final long ANSWER_BOUND = TimeUnit.SECONDS.toNanos(3);
    private static final long REFUSED_PAUSE = TimeUnit.SECONDS.toNanos(1);
    private static final long LONGEST_REPORT_PAUSE = TimeUnit.SECONDS.toNanos(2);
    /** For how long registrations may show a mark that is no more. */
    private static final long SNAPSHOT_LAG = TimeUnit.SECONDS.toNanos(2);

    private static final int REPORTS_PER_AGE = 8;
    private static final double EARLY_REPORT = 0.9;

    private final RolloutSettings settings;
    private final List<RolloutAction> actions;
    private Phase phase = Phase.IDLE;
    /** Whether this process has told routers to send nothing. */
    private boolean marked;

    private long unmarkedAt;
    private long notBefore;
    private RolloutTarget target;
    private long version;
    private long fenceToken;
    private long revision = SendOrder.ANY_SEQUENCE;
    private int attempts;
    private long orderAt;
    private long sentAt;
    private long resultAt;
    private long reportAt;
    private long reportAskedAt;
    private boolean reportPending;

    /** @param actions gets what is to be done */
    EngineRollout(RolloutSettings settings, List<RolloutAction> actions, Instance instance, long now) {
        super(instance);
        this.settings = settings;
        this.actions = actions;
        this.notBefore = now;
        this.unmarkedAt = now - SNAPSHOT_LAG;
    }

    boolean idle() {
        return phase == Phase.IDLE;
    }

    boolean startable(long now) {
        return phase == Phase.IDLE && now - notBefore >= 0;
    }

    /** Whether an order for that target holds the engine out of service, or is about to. */
    boolean underway(RolloutTarget wanted) {
        return present() && phase != Phase.IDLE && target == wanted;
    }

    /** Since when the order is out, 0 where it isn't yet. */
    long age(long now) {
        return phase == Phase.MARKED ? 0 : now - sentAt;
    }

    private boolean holdsOrdered() {
        return holds(target.model, version);
    }

    /** Tells routers; the order follows once they have had the time to hear. */
    void begin(RolloutTarget wanted, long now) {
        target = wanted;
        phase = Phase.MARKED;
        orderAt = marked ? now : now + settings.withdrawalLeadNanos();
        if (!marked) {
            marked = true;
            actions.add(new MarkLoading(id(), true));
        }
    }

    /** Whether an owner before this one has told routers to send nothing. */
    boolean adoptable(long now) {
        return phase == Phase.IDLE && announcedLoading() && now - unmarkedAt >= SNAPSHOT_LAG;
    }

    /** An owner before this one has told routers: the engine may have an order for that target, or null. */
    void adopt(RolloutTarget wanted, long now) {
        marked = true;
        if (wanted == null) {
            unmark(now);
            return;
        }
        target = wanted;
        version = wanted.version;
        sentAt = now;
        await(now - settings.reportStalenessNanos(), now);
    }

    /** What a registration shows. */
    void observe(boolean owner, long now) {
        if ((phase == Phase.ORDERED || phase == Phase.WAITING) && holdsOrdered()) {
            finish(owner, now);
        } else if (phase == Phase.MARKED && !serves(target)) {
            giveUp(now, 0);
        }
    }

    /** The ownership has ended: what was ordered is uncertain from now on. */
    void onOwnershipLost(long now) {
        if (phase == Phase.MARKED) {
            giveUp(now, 0);
        } else if (phase == Phase.ORDERED) {
            await(now, now + settings.reportStalenessNanos());
        }
    }

    void onOwnership(long now) {
        if (phase == Phase.WAITING) {
            reportAt = now;
            reportPending = false;
        }
    }

    /** Whether the result tells that the fencing token of now is too low. */
    boolean onResult(OrderResult result, long currentToken, boolean owner, long now) {
        if (phase != Phase.ORDERED) {
            return false;
        }
        switch (result) {
            case ACCEPTED -> await(
                    now,
                    Math.max(
                            now + settings.reportIntervalNanos(),
                            sentAt + (long) (EARLY_REPORT * target.concurrency.estimateNanos())));
            case ALREADY_LOADED -> {
                onVersion(target.model, version);
                finish(owner, now);
            }
            case FENCED -> {
                giveUp(now, 0);
                return fenceToken == currentToken;
            }
            case INVALID, MISDIRECTED -> giveUp(now, REFUSED_PAUSE);
            case CONFLICT, NO_RESPONSE -> await(now, now + settings.reportStalenessNanos());
        }
        return false;
    }

    /** @param report null where none came */
    void onReport(EngineReport report, boolean owner, long now) {
        boolean asked = reportPending;
        reportPending = false;
        reportAt = now
                + Math.min(
                        LONGEST_REPORT_PAUSE,
                        Math.max(settings.reportIntervalNanos(), (now - sentAt) / REPORTS_PER_AGE));
        if (report == null) {
            return;
        }
        onModels(report.models());
        onRunning(report.running());
        if (phase == Phase.WAITING && !report.busy()) {
            onAtRest(report.sequence(), asked, owner, now);
        }
    }

    /** It does nothing: the order is done, or it was not taken if the report is young enough to tell. */
    private void onAtRest(long sequence, boolean asked, boolean owner, long now) {
        if (holdsOrdered()) {
            finish(owner, now);
        } else if (owner && asked && reportAskedAt - resultAt >= settings.reportStalenessNanos()) {
            phase = Phase.MARKED;
            orderAt = now;
            revision = sequence;
        }
    }

    /** Does what is due. */
    void proceed(long token, boolean owner, long now) {
        if (phase == Phase.ORDERED && now - sentAt >= ANSWER_BOUND) {
            await(now, now);
        }
        if (!owner || !present()) {
            return;
        }
        if (phase == Phase.MARKED && now - orderAt >= 0) {
            send(token, now);
        } else if (phase == Phase.WAITING && now - nextReport() >= 0) {
            reportPending = true;
            reportAskedAt = now;
            actions.add(new RequestReport(id()));
        }
    }

    /** When something is due next; {@code otherwise} where nothing is. */
    long nextDue(boolean owner, long otherwise) {
        return switch (phase) {
            case IDLE -> otherwise;
            case MARKED -> owner && present() ? orderAt : otherwise;
            case ORDERED -> sentAt + ANSWER_BOUND;
            case WAITING -> owner && present() ? nextReport() : otherwise;
        };
    }

    private long nextReport() {
        return reportPending ? reportAskedAt + ANSWER_BOUND : reportAt;
    }

    private void send(long token, long now) {
        if (!behind(target)) {
            giveUp(now, 0);
            return;
        }
        phase = Phase.ORDERED;
        version = target.version;
        fenceToken = token;
        sentAt = now;
        attempts++;
        actions.add(new SendOrder(id(), target.model, version, settings.orderMode(), token, revision));
    }

    private void await(long result, long report) {
        phase = Phase.WAITING;
        resultAt = result;
        reportAt = report;
        reportPending = false;
    }

    /** A mark is this process's own: it ends it without the ownership too, as no other can. */
    private void finish(boolean owner, long now) {
        if (phase == Phase.WAITING && attempts == 1) {
            target.concurrency.onLoaded(now - sentAt);
        }
        clear(now);
        if (owner && behind(target)) {
            begin(target, now);
        } else {
            unmark(now);
        }
    }

    private void giveUp(long now, long pause) {
        clear(now + pause);
        unmark(now);
    }

    private void clear(long from) {
        phase = Phase.IDLE;
        notBefore = from;
        revision = SendOrder.ANY_SEQUENCE;
        attempts = 0;
        reportPending = false;
    }

    /** Lets routers send again. */
    void unmark(long now) {
        if (marked) {
            marked = false;
            unmarkedAt = now;
            actions.add(new MarkLoading(id(), false));
        }
    }
}
