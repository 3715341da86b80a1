package burlarch.controller.register;

import burlarch.coordination.register.acceptorset.AcceptorReachability;
import org.tinylog.Logger;

/** Tells operators, at a bounded rate, while too few acceptors can be reached. Lives on the loop. */
final class QuorumReachabilityReporter {
    /** Shorter gaps are what starts and short cuts bring along. */
    private static final long REPORT_AFTER_NANOS = 3_000_000_000L;

    private static final long REPORT_PERIOD_NANOS = 10_000_000_000L;

    private long lastReachableAtNanos;
    private long lastReportAtNanos;
    private boolean reported;

    QuorumReachabilityReporter(long startedNanos) {
        lastReachableAtNanos = startedNanos;
    }

    void onObserved(AcceptorReachability reach, long nowNanos) {
        if (reach.quorumReachable()) {
            lastReachableAtNanos = nowNanos;
            if (reported) {
                reported = false;
                Logger.info("a majority of the {} acceptors can be reached again", reach.size());
            }
            return;
        }
        boolean due = reported
                ? nowNanos - lastReportAtNanos >= REPORT_PERIOD_NANOS
                : nowNanos - lastReachableAtNanos >= REPORT_AFTER_NANOS;
        if (due) {
            reported = true;
            lastReportAtNanos = nowNanos;
            report(reach);
        }
    }

    private static void report(AcceptorReachability reach) {
        if (reach.size() == 0) {
            Logger.error("no acceptor is known: no other controller was reached, and this disk names none");
            return;
        }
        Logger.error(
                "no majority of acceptors, nothing can be changed: {} of {} can be reached; missing: {}",
                reach.size() - reach.unreachable().size(),
                reach.size(),
                reach.unreachable());
    }
}
