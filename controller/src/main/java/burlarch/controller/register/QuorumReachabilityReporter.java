package burlarch.controller.register;

import burlarch.coordination.register.acceptorset.AcceptorReachability;
import org.tinylog.Logger;

/**
 * Rate-limited alarm that logs for operators that no quorum of the acceptors can be reached. Runs on the event loop.
 *
 * <table>
 * <caption>States of the alarm</caption>
 * <tr><th>from</th><th>observation</th><th>to</th><th>logged</th></tr>
 * <tr><td>CLEAR</td><td>no quorum for 3 s</td><td>RAISED</td><td>error</td></tr>
 * <tr><td>RAISED</td><td>no quorum, 10 s after the last line</td><td>RAISED</td><td>error</td></tr>
 * <tr><td>RAISED</td><td>quorum</td><td>CLEAR</td><td>info</td></tr>
 * </table>
 */
final class QuorumReachabilityReporter {
    /** Shorter gaps occur during starts and brief network faults and need no operator. */
    private static final long REPORT_AFTER_NANOS = 3_000_000_000L;

    private static final long REPORT_PERIOD_NANOS = 10_000_000_000L;

    private enum Alarm {
        CLEAR,
        RAISED
    }

    private Alarm alarm = Alarm.CLEAR;
    private long lastReachableAtNanos;
    private long lastReportAtNanos;

    QuorumReachabilityReporter(long startedAtNanos) {
        lastReachableAtNanos = startedAtNanos;
    }

    /** Processes one observation. Must be called periodically. */
    void onObserved(AcceptorReachability reachability, long nowNanos) {
        if (reachability.quorumReachable()) {
            onQuorum(reachability, nowNanos);
        } else if (isReportDue(nowNanos)) {
            alarm = Alarm.RAISED;
            lastReportAtNanos = nowNanos;
            report(reachability);
        }
    }

    private void onQuorum(AcceptorReachability reachability, long nowNanos) {
        lastReachableAtNanos = nowNanos;
        if (alarm == Alarm.RAISED) {
            alarm = Alarm.CLEAR;
            Logger.info("quorum of acceptors reachable again: acceptors={}", reachability.size());
        }
    }

    private boolean isReportDue(long nowNanos) {
        return alarm == Alarm.RAISED
                ? nowNanos - lastReportAtNanos >= REPORT_PERIOD_NANOS
                : nowNanos - lastReachableAtNanos >= REPORT_AFTER_NANOS;
    }

    private static void report(AcceptorReachability reachability) {
        if (reachability.size() == 0) {
            Logger.error("no acceptor known: no other controller was reached, and this disk names no acceptors");
            return;
        }
        Logger.error(
                "no quorum of acceptors, changes are rejected: reachable={} acceptors={} unreachable={}",
                reachability.size() - reachability.unreachable().size(),
                reachability.size(),
                reachability.unreachable());
    }
}
