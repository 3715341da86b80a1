package burlarch.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.Attempt.Fate;
import burlarch.audit.Breach.Rule;
import burlarch.audit.ClientRequest.End;
import burlarch.audit.Rules.Repeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks for each rule that one planted violation is reported, and that the nearest permitted case is not.
 */
class AuditTest {
    private static final long MS = 1_000_000;
    private static final long BODY = Digest.of(new byte[] {1, 2});
    private static final Rules RULES = Rules.standard(Map.of(
            "read", new Repeat(Repeat.Kind.PURE, 0),
            "pay", new Repeat(Repeat.Kind.TOKEN, 1500 * MS),
            "note", new Repeat(Repeat.Kind.SIDE_EFFECT, 0)));

    private final List<ClientRequest> clientRequests = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<MembershipUpdate> membershipUpdates = new ArrayList<>();
    private final List<NodeStart> nodeStarts = new ArrayList<>();
    private final List<ProxyRun> proxyRuns = new ArrayList<>();

    private void addRequest(String id, String requestClass, End end, long sentMs, long endedMs) {
        int status = end == End.SERVED ? 200 : end == End.REFUSED ? 429 : end == End.FAILED ? 502 : 0;
        clientRequests.add(new ClientRequest(
                id,
                "n0",
                requestClass,
                false,
                sentMs * MS,
                1000 * MS,
                endedMs * MS,
                end,
                status,
                end == End.SERVED ? BODY : 0,
                status == 0 ? 0 : 1));
    }

    private void addAttempt(String id, String node, long startMs, long endMs, Fate fate) {
        attempts.add(new Attempt(
                id, node, "n0", startMs * MS, startMs * MS, endMs * MS, fate, 50 * MS, fate == Fate.SERVED ? BODY : 0));
    }

    private Verdict audit(long droppedRecords) {
        return Audit.of(
                new Records(clientRequests, attempts, membershipUpdates, nodeStarts, proxyRuns, droppedRecords), RULES);
    }

    private void assertPasses() {
        Verdict verdict = audit(0);
        assertTrue(verdict.passed(), verdict.breaches().toString());
    }

    /** Asserts that the audit reports one violation, of this rule and subject. */
    private void assertOneViolation(Rule rule, String subject) {
        Verdict verdict = audit(0);
        assertEquals(Map.of(rule, 1), verdict.counts(), verdict.breaches().toString());
        assertEquals(subject, verdict.breaches().get(0).subject());
        assertFalse(verdict.passed());
    }

    /** Adds a read that missed and was then served, and a refused read. */
    private void recordRunWithoutViolations() {
        addRequest("a", "read", End.SERVED, 100, 130);
        addAttempt("a", "c-1", 101, 103, Fate.MISS);
        addAttempt("a", "ledger", 104, 129, Fate.SERVED);
        addRequest("b", "read", End.REFUSED, 200, 203);
        addAttempt("b", "c-1", 201, 202, Fate.TURNED_AWAY);
    }

    @Test
    void runWithoutViolationsPasses() {
        recordRunWithoutViolations();
        assertPasses();
        assertEquals(MS, audit(0).refusalDelayPercentile(50));
    }

    @Test
    void runWithDroppedRecordsFails() {
        recordRunWithoutViolations();
        assertFalse(audit(1).passed());
        assertTrue(audit(1).summary().contains("1 records are missing"));
    }

    @Test
    void unansweredRequestIsReported() {
        recordRunWithoutViolations();
        addRequest("x", "read", End.UNANSWERED, 100, 1200);
        assertOneViolation(Rule.ONE_ANSWER, "x");
    }

    @Test
    void lostRequestIsReportedUnlessItsProxyDied() {
        addRequest("x", "read", End.LOST, 100, 300);
        assertOneViolation(Rule.ONE_ANSWER, "x");
        proxyRuns.add(new ProxyRun("n1", 1, 300 * MS));
        assertOneViolation(Rule.ONE_ANSWER, "x");
        proxyRuns.add(new ProxyRun("n0", 1, 300 * MS));
        assertPasses();
    }

    @Test
    void requestLostAfterProxyWasKilledIsExcusedAndOneLostBeforeIsReported() {
        proxyRuns.add(new ProxyRun("n0", 1, 300 * MS, 900 * MS));
        addRequest("dying", "read", End.LOST, 310, 320);
        assertPasses();
        addRequest("before", "read", End.LOST, 100, 240);
        assertOneViolation(Rule.ONE_ANSWER, "before");
    }

    @Test
    void requestSentDuringConnectionCloseRequiresResponseOnlyIfNodeReceivedIt() {
        addRequest("x", "read", End.CROSSED, 100, 300);
        assertPasses();
        addAttempt("x", "c-1", 110, 200, Fate.GIVEN_UP);
        assertOneViolation(Rule.ONE_ANSWER, "x");
        proxyRuns.add(new ProxyRun("n0", 1, 290 * MS));
        assertPasses();
    }

    @Test
    void secondResponseIsReported() {
        clientRequests.add(
                new ClientRequest("x", "n0", "read", false, 100 * MS, 1000 * MS, 110 * MS, End.REFUSED, 429, 0, 2));
        assertOneViolation(Rule.ONE_ANSWER, "x");
    }

    @Test
    void requestNeverSentRequiresNoResponse() {
        clientRequests.add(new ClientRequest("x", "n0", "read", false, 0, 1000 * MS, 110 * MS, End.LOST, 0, 0, 0));
        assertPasses();
    }

    @Test
    void overlappingAttemptsAreReported() {
        addRequest("x", "read", End.SERVED, 100, 400);
        addAttempt("x", "c-1", 101, 300, Fate.GIVEN_UP);
        addAttempt("x", "c-2", 249, 399, Fate.SERVED);
        assertOneViolation(Rule.NO_SECOND_COPY, "x");
        attempts.set(1, new Attempt("x", "c-2", "n0", 251 * MS, 251 * MS, 399 * MS, Fate.SERVED, 0, BODY));
        assertPasses();
    }

    @Test
    void attemptThatNeverEndedOverlapsEveryLaterOne() {
        addRequest("x", "read", End.SERVED, 100, 900);
        addAttempt("x", "c-1", 101, 0, Fate.SILENT);
        addAttempt("x", "c-2", 800, 890, Fate.SERVED);
        assertOneViolation(Rule.NO_SECOND_COPY, "x");
    }

    @Test
    void sixthAttemptIsReportedAndIncompleteAttemptDoesNotCount() {
        addRequest("x", "read", End.REFUSED, 100, 200);
        for (int i = 0; i < 5; i++) {
            addAttempt("x", "c-" + i, 101 + 10 * i, 105 + 10 * i, Fate.TURNED_AWAY);
        }
        attempts.add(new Attempt("x", "c-5", "n0", 160 * MS, 0, 161 * MS, Fate.RESET, 0, 0));
        assertPasses();
        addAttempt("x", "c-6", 170, 171, Fate.TURNED_AWAY);
        assertOneViolation(Rule.ATTEMPTS, "x");
    }

    @Test
    void repeatForbiddenByClassIsReported() {
        addRequest("x", "note", End.FAILED, 100, 200);
        addAttempt("x", "ledger", 101, 110, Fate.ERROR);
        assertPasses();
        addAttempt("x", "ledger", 120, 130, Fate.ERROR);
        assertOneViolation(Rule.NO_UNSAFE_REPEAT, "x");
    }

    @Test
    void repeatOfUnknownClassIsReported() {
        addRequest("x", "novel", End.FAILED, 100, 200);
        addAttempt("x", "ledger", 101, 110, Fate.RESET);
        addAttempt("x", "ledger", 120, 130, Fate.RESET);
        assertOneViolation(Rule.NO_UNSAFE_REPEAT, "x");
    }

    @Test
    void repeatAfterAttemptThatWasNotExecutedIsAllowed() {
        addRequest("x", "note", End.SERVED, 100, 200);
        addAttempt("x", "ledger", 101, 110, Fate.TURNED_AWAY);
        addAttempt("x", "ledger", 120, 199, Fate.SERVED);
        assertPasses();
    }

    @Test
    void repeatAfterDeduplicationSpanIsReported() {
        addRequest("x", "pay", End.FAILED, 100, 2000);
        addAttempt("x", "ledger", 101, 110, Fate.RESET);
        addAttempt("x", "ledger", 1600, 1610, Fate.RESET);
        assertPasses();
        addAttempt("x", "ledger", 1700, 1710, Fate.RESET);
        assertOneViolation(Rule.NO_UNSAFE_REPEAT, "x");
    }

    @Test
    void refusalOfPossiblyExecutedSideEffectIsReported() {
        addRequest("x", "note", End.REFUSED, 100, 120);
        addAttempt("x", "ledger", 101, 118, Fate.RESET);
        assertOneViolation(Rule.NO_UNSAFE_REPEAT, "x");
    }

    @Test
    void attemptToDrainingNodeIsReportedAfterGraceFromNotification() {
        addRequest("x", "read", End.SERVED, 1900, 1960);
        addAttempt("x", "c-1", 1901, 1950, Fate.SERVED);
        membershipUpdates.add(new MembershipUpdate("n1", "c-1", MembershipUpdate.Stage.DRAINING, 100 * MS, 0));
        assertPasses();
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.DRAINING, 1102 * MS, 0));
        assertPasses();
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.GONE, 1200 * MS, 0));
        assertPasses();
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.DRAINING, 1000 * MS, 0));
        assertOneViolation(Rule.DRAIN, "x");
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.SERVING, 1800 * MS, 0));
        assertPasses();
    }

    @Test
    void coldNodeOverloadIsReportedIfProxyWasNotifiedOfStart() {
        nodeStarts.add(new NodeStart("c-1", 1000 * MS, 2, 0.1, 20_000 * MS));
        // Initial budget: 3 x 0.2 cores x 3 s = 1.8 s, and a tolerance of 3 requests: 39 requests of 50 ms.
        for (int i = 0; i < 60; i++) {
            addRequest("r" + i, "read", End.SERVED, 1100 + i, 1190 + i);
            addAttempt("r" + i, "c-1", 1100 + i, 1180 + i, Fate.SERVED);
        }
        assertPasses();
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.SERVING, 1050 * MS, 1000 * MS));
        assertOneViolation(Rule.COLD_START, "c-1");
    }

    @Test
    void coldNodeLoadWithinBudgetIsAllowed() {
        nodeStarts.add(new NodeStart("c-1", 1000 * MS, 2, 0.1, 20_000 * MS));
        membershipUpdates.add(new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.SERVING, 1050 * MS, 1000 * MS));
        for (int i = 0; i < 35; i++) {
            addRequest("r" + i, "read", End.SERVED, 1100 + i, 1190 + i);
            addAttempt("r" + i, "c-1", 1100 + i, 1180 + i, Fate.SERVED);
        }
        assertPasses();
    }

    @Test
    void attemptWithoutClientRequestIsReported() {
        recordRunWithoutViolations();
        addAttempt("probe", "c-1", 300, 301, Fate.SERVED);
        assertOneViolation(Rule.UNASKED, "probe");
    }

    @Test
    void responseThatNoNodeProducedIsReported() {
        addRequest("x", "read", End.SERVED, 100, 120);
        assertOneViolation(Rule.UNMADE, "x");
        attempts.add(new Attempt("x", "c-1", "n0", 101 * MS, 101 * MS, 110 * MS, Fate.SERVED, 0, BODY + 1));
        assertOneViolation(Rule.UNMADE, "x");
        attempts.add(new Attempt("x", "c-2", "n0", 111 * MS, 111 * MS, 118 * MS, Fate.SERVED, 0, BODY));
        assertPasses();
    }

    @Test
    void refusalDelayedUntilTimeoutIsReported() {
        addRequest("x", "read", End.REFUSED, 100, 1050);
        addAttempt("x", "c-1", 101, 110, Fate.TURNED_AWAY);
        assertOneViolation(Rule.HELD, "x");
        attempts.set(0, new Attempt("x", "c-1", "n0", 101 * MS, 101 * MS, 1040 * MS, Fate.GIVEN_UP, 0, 0));
        assertPasses();
    }

    @Test
    void allViolationsAreCountedButOnlyFirstFiftyAreReported() {
        for (int i = 0; i < 2000; i++) {
            addAttempt("p" + i, "c-1", 300, 301, Fate.SERVED);
        }
        Verdict verdict = audit(0);
        assertEquals(2000, verdict.counts().get(Rule.UNASKED));
        assertEquals(50, verdict.breaches().size());
    }
}
