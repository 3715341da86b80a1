package burlarch.lab.load;

import burlarch.audit.ClientRequest;
import burlarch.audit.ClientRequest.End;
import burlarch.audit.Sink;
import burlarch.lab.load.LoadStatistics.Outcome;
import burlarch.standins.fleet.FleetPlan;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks the incomplete requests of one event loop: it applies timeouts and client disconnects, and counts,
 * records and reports the single result of each request. Confined to its event loop.
 */
final class RequestTracker {
    private static final long NANOS_PER_MS = 1_000_000L;
    /** Status recorded for an extra response, whose real status is not parsed. */
    private static final int SECOND_ANSWER_STATUS = 599;

    /** Receives each request's result after it has been counted. */
    interface CompletionListener {
        void onComplete(PendingRequest request, RequestResult result, long nowNanos);
    }

    private final LoadPlan plan;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Sink sink;
    private final LoadStatistics statistics;
    private final CompletionListener listener;
    private final long graceNanos;
    /** Open requests by class in timeout order; all requests of a class have the same timeout. */
    private final List<ArrayDeque<PendingRequest>> timeouts = new ArrayList<>();

    private int openCount;

    RequestTracker(
            LoadPlan plan,
            EventLoop loop,
            LongSupplier clock,
            Sink sink,
            LoadStatistics statistics,
            CompletionListener listener) {
        this.plan = plan;
        this.loop = loop;
        this.clock = clock;
        this.sink = sink;
        this.statistics = statistics;
        this.listener = listener;
        this.graceNanos = (long) (plan.graceMs() * NANOS_PER_MS);
        plan.classes().forEach(kind -> timeouts.add(new ArrayDeque<>()));
    }

    boolean isEmpty() {
        return openCount == 0;
    }

    void add(PendingRequest request) {
        openCount++;
        timeouts.get(request.planned.requestClass()).add(request);
        if (request.planned.disconnectNanos() > 0) {
            loop.schedule(() -> disconnect(request), request.planned.disconnectNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void disconnect(PendingRequest request) {
        if (!request.completed) {
            abandon(request, request.sentNanos == 0 ? Outcome.UNSENT : Outcome.LEFT);
        }
    }

    /** Completes the requests whose timeout has passed. */
    void expire() {
        long nowNanos = clock.getAsLong();
        for (ArrayDeque<PendingRequest> queue : timeouts) {
            for (PendingRequest first = queue.peek(); first != null; first = queue.peek()) {
                if (!first.completed && !expired(first, nowNanos)) {
                    break;
                }
                queue.poll();
                if (!first.completed) {
                    abandon(first, first.carrier().connection == null ? Outcome.UNSENT : Outcome.UNANSWERED);
                }
            }
        }
    }

    private boolean expired(PendingRequest request, long nowNanos) {
        long timeoutNanos = request.planned.timeoutMs() * NANOS_PER_MS;
        return request.sentNanos == 0
                ? nowNanos - request.dueNanos >= timeoutNanos
                : nowNanos - request.sentNanos >= timeoutNanos + graceNanos;
    }

    /** Completes the request without a response, and closes its connection if no other request on it is open. */
    private void abandon(PendingRequest request, Outcome outcome) {
        ClientConnection connection = request.carrier().connection;
        request.fail(outcome);
        if (connection != null && request.carrier().isComplete()) {
            connection.close();
        }
    }

    /** Completes a request. Only the first call for a request has an effect. */
    void complete(PendingRequest request, RequestResult result) {
        if (request.completed) {
            return;
        }
        long nowNanos = clock.getAsLong();
        request.completed = true;
        openCount--;
        if (request.carrier().isComplete()) {
            request.carrier().detach();
        }
        count(request, result, nowNanos);
        record(request, result, nowNanos);
        listener.onComplete(request, result, nowNanos);
    }

    private void count(PendingRequest request, RequestResult result, long nowNanos) {
        long latencyNanos = nowNanos - request.dueNanos;
        statistics.record(
                request.planned,
                result.outcome(),
                latencyNanos,
                nowNanos - request.sentNanos,
                latencyNanos > kind(request.planned).aimNanos());
    }

    /**
     * Requests that were never sent are not recorded. A request whose resend found no connection is recorded as
     * CROSSED: its first send may have crossed the close of the connection.
     */
    private void record(PendingRequest request, RequestResult result, long nowNanos) {
        boolean crossed = result.outcome() == Outcome.UNSENT && request.sentNanos != 0;
        if (result.outcome() != Outcome.UNSENT || crossed) {
            End recorded = crossed ? End.CROSSED : End.valueOf(result.outcome().name());
            record(request, nowNanos, recorded, result.status(), result.bodyDigest(), result.hasResponse() ? 1 : 0);
        }
    }

    /** Records an extra response to a request that has completed. */
    void onExtraResponse(PendingRequest request) {
        record(request, clock.getAsLong(), End.FAILED, SECOND_ANSWER_STATUS, 0, 2);
    }

    private void record(
            PendingRequest request, long nowNanos, End recordedEnd, int status, long bodyDigest, int responses) {
        PlannedRequest planned = request.planned;
        sink.write(new ClientRequest(
                planned.id(),
                request.pool.target.proxy(),
                kind(planned).name(),
                planned.write(),
                request.sentNanos,
                planned.timeoutMs() * NANOS_PER_MS,
                nowNanos,
                recordedEnd,
                status,
                bodyDigest,
                responses));
    }

    private FleetPlan.RequestClass kind(PlannedRequest planned) {
        return plan.classes().get(planned.requestClass());
    }
}
