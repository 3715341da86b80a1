package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks the rules of the fleet against what clients and instances saw. */
final class SoakChecker {
    /** Time without a disruption after which a machine counts as in touch, {@code contact_ms}. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Time after the end of a request in which its cause may still be recorded. */
    private static final long RECORD_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Connections that may end without a response outside of planned work. */
    private static final int TOLERATED_UNPLANNED_LOSSES = 3;

    private final SoakFleet fleet;
    private final SoakObservations observations;
    private final Map<String, SoakProcess> routers;
    private final SoakViolations violations;

    SoakChecker(SoakFleet fleet, SoakObservations observations, SoakViolations violations) {
        this.fleet = fleet;
        this.observations = observations;
        this.violations = violations;
        routers = fleet.routers().stream().collect(Collectors.toMap(SoakProcess::name, Function.identity()));
    }

    /** Checks the rules for requests. */
    void checkRequests() {
        List<SoakRequest> requests = observations.requests();
        checkLost(requests);
        for (SoakRequest request : requests) {
            checkRepetition(request);
            if (!request.detail().isEmpty()) {
                String rule = request.kind().isStream() ? "ORDER" : "MIXED";
                add(rule, request, request.detail());
            }
        }
        checkDrains(requests);
    }

    private void add(String rule, SoakRequest request, String detail) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(request.endedNanos() - request.sentNanos());
        String origin = request.kind() + " at " + request.router() + ", ended after " + elapsedMillis + " ms: ";
        violations.add(rule, request.id(), request.sentNanos(), origin + detail);
    }

    private void checkLost(List<SoakRequest> requests) {
        List<SoakRequest> unplanned = new ArrayList<>();
        for (SoakRequest request : requests) {
            if (isLost(request)) {
                if (routers.get(request.router()).isInPlannedWork(request.endedNanos())) {
                    add("LOST", request, "ran, and its connection ended after a SIGTERM");
                } else {
                    unplanned.add(request);
                }
            }
        }
        if (unplanned.size() > TOLERATED_UNPLANNED_LOSSES) {
            unplanned.forEach(request -> add("LOST", request, "ran, and its connection ended without a cause"));
        }
    }

    private boolean isLost(SoakRequest request) {
        return request.end() == SoakRequest.End.CONNECTION_ENDED
                && observations.executionsOf(request.id()) > 0
                && !SoakClient.reachedDeadline(request)
                && routers.get(request.router())
                        .isUndisrupted(request.sentNanos() - CONTACT_NANOS, request.endedNanos() + RECORD_DELAY_NANOS);
    }

    private void checkRepetition(SoakRequest request) {
        int executions = observations.executionsOf(request.id());
        if (request.kind().isRepeatable() || executions == 0) {
            return;
        }
        if (executions > 1) {
            add("TWICE", request, "ran " + executions + " times");
        }
        if (promisesNoExecution(request.status())) {
            add("REFUSED", request, "got " + request.status() + " and ran");
        }
    }

    private static boolean promisesNoExecution(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private void checkDrains(List<SoakRequest> requests) {
        Map<String, SoakRequest> byId =
                requests.stream().collect(Collectors.toMap(SoakRequest::id, Function.identity(), (one, other) -> one));
        for (SoakObservations.LateRequest late : observations.lateRequests()) {
            SoakRequest request = byId.get(late.requestId());
            if (request != null && isInTouch(request.router(), late.nanos())) {
                add("DRAIN", request, "reached " + late.instance() + " after its drain timeout");
            }
        }
    }

    /** Whether a router and all controllers were left alone for so long that the router counts as in touch. */
    private boolean isInTouch(String router, long nanos) {
        return routers.get(router).isUndisrupted(nanos - CONTACT_NANOS, nanos)
                && fleet.controllers().stream()
                        .allMatch(controller -> controller.isUndisrupted(nanos - CONTACT_NANOS, nanos));
    }
}
