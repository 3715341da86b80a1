package burlarch.controller;

import burlarch.coordination.register.AcceptorReach;
import org.tinylog.Logger;

/** Tells operators, at a bounded rate, while too few acceptors can be reached. Lives on the loop. */
final class MajorityWatch {
    /** Shorter gaps are what starts and short cuts bring along. */
    private static final long TOLD_AFTER_NANOS = 3_000_000_000L;

    private static final long TOLD_AGAIN_NANOS = 10_000_000_000L;

    private long reachedNanos;
    private long toldNanos;
    private boolean told;

    MajorityWatch(long startedNanos) {
        reachedNanos = startedNanos;
    }

    void onLook(AcceptorReach reach, long nowNanos) {
        if (reach.quorum()) {
            reachedNanos = nowNanos;
            if (told) {
                told = false;
                Logger.info("a majority of the {} acceptors can be reached again", reach.size());
            }
            return;
        }
        boolean due = told ? nowNanos - toldNanos >= TOLD_AGAIN_NANOS : nowNanos - reachedNanos >= TOLD_AFTER_NANOS;
        if (due) {
            told = true;
            toldNanos = nowNanos;
            tell(reach);
        }
    }

    private static void tell(AcceptorReach reach) {
        if (reach.size() == 0) {
            Logger.error("no acceptor is known: no other controller was reached, and this disk names none");
            return;
        }
        Logger.error(
                "no majority of acceptors, nothing can be changed: {} of {} can be reached; missing: {}",
                reach.size() - reach.missing().size(),
                reach.size(),
                reach.missing());
    }
}
