package burlarch.audit;

import burlarch.audit.Breach.Rule;
import burlarch.audit.Rules.Repeat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks {@link Rules} on the records of clients, nodes and discovery. The audit treats proxies as black boxes:
 * its findings rest only on what the parties around them recorded. The result is a pure function of the input.
 */
public final class Audit {
    /** Violations of one rule that are reported in full; the others are only counted. */
    private static final int MAX_REPORTED_PER_RULE = 50;
    /** Tolerance of the cold-start budget for random variation, in requests of mean work. */
    private static final double COLD_START_TOLERANCE_REQUESTS = 3;
    /**
     * A refusal or failure counts as held back if it came after this fraction of the timeout, and no attempt was in
     * flight for {@link #IDLE_TIMEOUT_FRACTION} of the timeout before it.
     */
    private static final double LATE_TIMEOUT_FRACTION = 0.9;

    /** See {@link #LATE_TIMEOUT_FRACTION}. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private final Records records;
    private final Rules rules;
    private final long originNanos;
    private final Map<Rule, List<Breach>> breaches = new EnumMap<>(Rule.class);
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final Map<String, ClientRequest> requestsById = new HashMap<>();
    private final Map<String, List<Attempt>> attemptsByRequest = new LinkedHashMap<>();
    private final List<Long> refusalDelaysNanos = new ArrayList<>();

    private Audit(Records records, Rules rules) {
        this.records = records;
        this.rules = rules;
        this.originNanos = Math.min(
                records.clientRequests().stream()
                        .filter(a -> a.sentNanos() != 0)
                        .mapToLong(ClientRequest::sentNanos)
                        .min()
                        .orElse(Long.MAX_VALUE),
                records.attempts().stream()
                        .mapToLong(Attempt::firstByteNanos)
                        .min()
                        .orElse(Long.MAX_VALUE));
    }

    /** Audits the records of one run. */
    public static Verdict of(Records records, Rules rules) {
        return new Audit(records, rules).run();
    }

    private Verdict run() {
        records.clientRequests().forEach(a -> requestsById.put(a.id(), a));
        for (Attempt attempt : records.attempts()) {
            if (!requestsById.containsKey(attempt.id())) {
                report(Rule.UNASKED, attempt.id(), "at " + attempt.node() + ", " + at(attempt.firstByteNanos()));
            }
            if (attempt.isComplete()) {
                attemptsByRequest
                        .computeIfAbsent(attempt.id(), id -> new ArrayList<>(2))
                        .add(attempt);
            }
        }
        attemptsByRequest.values().forEach(list -> list.sort(Comparator.comparingLong(Attempt::lastByteNanos)));
        records.clientRequests().forEach(this::checkResponse);
        attemptsByRequest.forEach(this::checkAttempts);
        checkDrains();
        records.nodeStarts().forEach(this::checkColdStart);
        long[] sorted =
                refusalDelaysNanos.stream().mapToLong(Long::longValue).sorted().toArray();
        return new Verdict(
                breaches.values().stream().flatMap(List::stream).toList(),
                Collections.unmodifiableMap(counts),
                sorted,
                records.clientRequests().size(),
                records.attempts().size(),
                records.droppedRecords());
    }

    // ---- responses

    private void checkResponse(ClientRequest request) {
        if (request.answers() > 1) {
            report(Rule.ONE_ANSWER, request.id(), request.answers() + " responses");
        }
        List<Attempt> attempts = attemptsByRequest.getOrDefault(request.id(), List.of());
        boolean noResponse = request.end() == ClientRequest.End.LOST
                || request.end() == ClientRequest.End.UNANSWERED
                || request.end() == ClientRequest.End.CROSSED && !attempts.isEmpty();
        if (noResponse && request.sentNanos() != 0 && !proxyDiedMeanwhile(request)) {
            report(
                    Rule.ONE_ANSWER,
                    request.id(),
                    request.end() + " by " + request.proxy() + ", sent "
                            + at(request.sentNanos()) + ", ended " + at(request.endedNanos()) + ", timeout "
                            + millis(request.timeoutNanos()));
        }
        if (request.end() == ClientRequest.End.SERVED
                && attempts.stream()
                        .noneMatch(a -> a.fate() == Attempt.Fate.SERVED && a.bodyDigest() == request.bodyDigest())) {
            report(
                    Rule.UNMADE,
                    request.id(),
                    "served by " + request.proxy() + ", " + at(request.endedNanos()) + ", of " + attempts.size()
                            + " attempts");
        }
        if (request.end() == ClientRequest.End.REFUSED || request.end() == ClientRequest.End.FAILED) {
            checkRefusalDelay(request, attempts);
        }
    }

    /** Whether the request's proxy was killed while it may have held the request. */
    private boolean proxyDiedMeanwhile(ClientRequest request) {
        return records.proxyRuns().stream()
                .anyMatch(run -> run.proxy().equals(request.proxy())
                        && run.endedNanos() != 0
                        && run.endedNanos() >= request.sentNanos()
                        && run.killedNanos() <= request.endedNanos() + rules.slackNanos());
    }

    /**
     * Checks the delay of a refusal or failure. It counts from the last event known of the request: when it was
     * sent, or when its last attempt ended.
     */
    private void checkRefusalDelay(ClientRequest request, List<Attempt> attempts) {
        long lastNanos = request.sentNanos();
        for (Attempt attempt : attempts) {
            if (attempt.endedNanos() == 0 || attempt.endedNanos() >= request.endedNanos()) {
                // The attempt was in flight until the response: there was no delay.
                refusalDelaysNanos.add(0L);
                return;
            }
            lastNanos = Math.max(lastNanos, attempt.endedNanos());
        }
        long idleNanos = Math.max(0, request.endedNanos() - lastNanos);
        refusalDelaysNanos.add(idleNanos);
        boolean late = request.endedNanos() - request.sentNanos() > LATE_TIMEOUT_FRACTION * request.timeoutNanos();
        if (late
                && idleNanos > IDLE_TIMEOUT_FRACTION * request.timeoutNanos()
                && idleNanos > rules.promptResponseNanos()) {
            report(
                    Rule.HELD,
                    request.id(),
                    request.status() + " after " + millis(idleNanos) + " without an attempt, timeout "
                            + millis(request.timeoutNanos()));
        }
    }

    // ---- attempts

    private void checkAttempts(String id, List<Attempt> attempts) {
        if (attempts.size() > rules.maxAttempts()) {
            report(Rule.ATTEMPTS, id, attempts.size() + " attempts, " + nodes(attempts));
        }
        for (int i = 1; i < attempts.size(); i++) {
            Attempt previous = attempts.get(i - 1);
            Attempt next = attempts.get(i);
            if (previous.endedNanos() == 0 || next.lastByteNanos() < previous.endedNanos() - rules.slackNanos()) {
                report(
                        Rule.NO_SECOND_COPY,
                        id,
                        "at " + next.node() + " " + at(next.lastByteNanos())
                                + " while in flight at " + previous.node() + " until "
                                + (previous.endedNanos() == 0 ? "the end" : at(previous.endedNanos())));
            }
        }
        ClientRequest request = requestsById.get(id);
        if (request != null) {
            checkRepeats(request, attempts);
        }
    }

    /** Checks that attempts after one that may have been executed are allowed by the request's class. */
    private void checkRepeats(ClientRequest request, List<Attempt> attempts) {
        Repeat repeat = rules.classes().getOrDefault(request.requestClass(), Rules.NEVER);
        if (repeat.kind() == Repeat.Kind.PURE) {
            return;
        }
        Attempt maybeExecuted = null;
        for (Attempt attempt : attempts) {
            if (maybeExecuted != null
                    && !isRepeatAllowed(repeat, attempt.lastByteNanos() - maybeExecuted.lastByteNanos())) {
                report(
                        Rule.NO_UNSAFE_REPEAT,
                        request.id(),
                        request.requestClass() + " " + repeat.kind()
                                + " again at " + attempt.node() + " " + at(attempt.lastByteNanos())
                                + ", may have been executed at "
                                + maybeExecuted.node() + " (" + maybeExecuted.fate() + ") "
                                + at(maybeExecuted.lastByteNanos()));
            }
            if (maybeExecuted == null && attempt.fate().mayHaveExecuted()) {
                maybeExecuted = attempt;
            }
        }
        if (maybeExecuted != null
                && request.end() == ClientRequest.End.REFUSED
                && repeat.kind() == Repeat.Kind.SIDE_EFFECT) {
            report(
                    Rule.NO_UNSAFE_REPEAT,
                    request.id(),
                    "refused, which invites a retry, though it may have " + "been executed at " + maybeExecuted.node()
                            + " (" + maybeExecuted.fate() + ") " + at(maybeExecuted.lastByteNanos()));
        }
    }

    private boolean isRepeatAllowed(Repeat repeat, long sinceNanos) {
        return repeat.kind() == Repeat.Kind.TOKEN && sinceNanos <= repeat.memorySpanNanos() + rules.slackNanos();
    }

    private static String nodes(List<Attempt> attempts) {
        return String.join(" ", attempts.stream().map(Attempt::node).toList());
    }

    // ---- membership

    /** Key of the membership updates that one proxy received about one node. */
    private record ProxyAndNode(String proxy, String node) {}

    /** Returns the membership updates of each proxy about each node, in order of time. */
    private Map<ProxyAndNode, List<MembershipUpdate>> updatesByProxyAndNode() {
        Map<ProxyAndNode, List<MembershipUpdate>> updatesByKey = new HashMap<>();
        for (MembershipUpdate update : records.membershipUpdates()) {
            updatesByKey
                    .computeIfAbsent(new ProxyAndNode(update.proxy(), update.node()), v -> new ArrayList<>())
                    .add(update);
        }
        updatesByKey.values().forEach(list -> list.sort(Comparator.comparingLong(MembershipUpdate::atNanos)));
        return updatesByKey;
    }

    /** Checks that no proxy sends to a node after it learned that the node drains or is gone. */
    private void checkDrains() {
        Map<ProxyAndNode, List<MembershipUpdate>> updatesByKey = updatesByProxyAndNode();
        for (Attempt attempt : records.attempts()) {
            List<MembershipUpdate> updates = updatesByKey.get(new ProxyAndNode(attempt.proxy(), attempt.node()));
            if (updates == null) {
                continue;
            }
            long leavingSinceNanos = 0;
            for (MembershipUpdate update : updates) {
                if (update.atNanos() > attempt.firstByteNanos()) {
                    break;
                }
                boolean leaving = update.stage() != MembershipUpdate.Stage.SERVING;
                leavingSinceNanos = !leaving ? 0 : leavingSinceNanos == 0 ? update.atNanos() : leavingSinceNanos;
            }
            long delayNanos = attempt.firstByteNanos() - leavingSinceNanos;
            if (leavingSinceNanos != 0 && delayNanos > rules.drainGraceNanos() + rules.slackNanos()) {
                report(
                        Rule.DRAIN,
                        attempt.id(),
                        "at " + attempt.node() + " " + millis(delayNanos) + " after " + attempt.proxy()
                                + " was notified");
            }
        }
    }

    /**
     * Checks that a cold node is not sent more work than its budget within any window of the configured length.
     * All work that reaches the node counts; the rule is violated if at least two thirds of it came from proxies
     * that had been notified of the start.
     */
    private void checkColdStart(NodeStart start) {
        Map<String, Long> notifiedNanos = new HashMap<>();
        for (MembershipUpdate update : records.membershipUpdates()) {
            if (update.node().equals(start.node())
                    && update.stage() == MembershipUpdate.Stage.SERVING
                    && update.startedAtNanos() != 0
                    && update.atNanos() >= start.atNanos()) {
                notifiedNanos.merge(update.proxy(), update.atNanos(), Math::min);
            }
        }
        Attempt[] sent = records.attempts().stream()
                .filter(a -> a.isComplete()
                        && a.node().equals(start.node())
                        && a.lastByteNanos() >= start.atNanos()
                        && a.lastByteNanos() < start.atNanos() + start.coldNanos())
                .sorted(Comparator.comparingLong(Attempt::lastByteNanos))
                .toArray(Attempt[]::new);
        double meanNanos =
                Arrays.stream(sent).mapToLong(Attempt::workNanos).average().orElse(0);
        double workNanos = 0;
        double notifiedWorkNanos = 0;
        int windowStart = 0;
        boolean reported = false;
        for (Attempt attempt : sent) {
            workNanos += attempt.workNanos();
            notifiedWorkNanos += wasNotified(notifiedNanos, attempt) ? attempt.workNanos() : 0;
            for (;
                    attempt.lastByteNanos() - sent[windowStart].lastByteNanos() > rules.coldStartWindowNanos();
                    windowStart++) {
                workNanos -= sent[windowStart].workNanos();
                notifiedWorkNanos -= wasNotified(notifiedNanos, sent[windowStart]) ? sent[windowStart].workNanos() : 0;
            }
            double budgetNanos =
                    rules.coldStartMultiple() * start.capacityAt(attempt.lastByteNanos()) * rules.coldStartWindowNanos()
                            + COLD_START_TOLERANCE_REQUESTS * meanNanos;
            if (!reported && workNanos > budgetNanos && notifiedWorkNanos * 3 >= workNanos * 2) {
                reported = true;
                report(
                        Rule.COLD_START,
                        start.node(),
                        "sent " + millis((long) workNanos) + " of work in "
                                + millis(rules.coldStartWindowNanos()) + ", budget " + millis((long) budgetNanos) + ", "
                                + millis(attempt.lastByteNanos() - start.atNanos()) + " after its start");
            }
        }
    }

    /** Whether the attempt's proxy had been notified of the start when it sent the attempt. */
    private static boolean wasNotified(Map<String, Long> notifiedNanos, Attempt attempt) {
        Long notified = notifiedNanos.get(attempt.proxy());
        return notified != null && notified <= attempt.firstByteNanos();
    }

    // ---- findings

    private void report(Rule rule, String subject, String evidence) {
        counts.merge(rule, 1, Integer::sum);
        List<Breach> reportedOfRule = breaches.computeIfAbsent(rule, r -> new ArrayList<>());
        if (reportedOfRule.size() < MAX_REPORTED_PER_RULE) {
            reportedOfRule.add(new Breach(rule, subject, evidence));
        }
    }

    /** Formats a time as milliseconds since the run's first record. */
    private String at(long nanos) {
        return "at " + millis(nanos - originNanos);
    }

    private static String millis(long nanos) {
        return String.format(Locale.ROOT, "%.1f ms", nanos / 1e6);
    }
}
