package burlarch.router.forwarding;

import burlarch.router.forwarding.ExchangeState.NextAttempt;
import burlarch.router.http.Headers;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * The attempts of one exchange, one after another: places each of them, sends it, and reports its outcome to
 * the planner exactly once. Runs in the serialized events of its exchange.
 */
final class AttemptSequence {
    /** A response at the deadline leaves this much earlier, so that it arrives in time. */
    private static final long DEADLINE_MARGIN_NANOS = 5_000_000;

    private final Exchange exchange;
    private final ForwardingContext context;
    private final RouteRequest routed;
    private final RetrySafety safety;
    private final ForwardedRequestHead head;
    private final String method;
    private final ByteBuffer body;
    /** The attempt in flight, or null. */
    private Attempt current;

    private int attemptCount;
    /** Null unless the response is a stream of events that may be resumed. */
    private EventStreamAssembler events;

    AttemptSequence(
            Exchange exchange, ForwardingContext context, RouteRequest routed, Request request, ByteBuffer body) {
        this.exchange = exchange;
        this.context = context;
        this.routed = routed;
        this.safety = RetrySafety.of(routed.route());
        this.method = request.getMethod();
        this.head = new ForwardedRequestHead(method, request.getHttpURI().getPathQuery(), request.getHeaders());
        this.body = body;
    }

    /** Time until the exchange has to end; not positive if it is over. */
    long remainingNanos() {
        return routed.deadlineNanos() - DEADLINE_MARGIN_NANOS - System.nanoTime();
    }

    /** Places and sends the next attempt, or ends the exchange if the planner refuses one. */
    void next() {
        boolean resumes = exchange.state() == ExchangeState.RESPONDING;
        RouteRequest request = resumes ? resumed(routed) : routed;
        Placement placement = context.planner().place(request, attemptCount);
        if (placement instanceof Placement.Refuse refusal) {
            exchange.perform(exchange.state().withoutSend(), Headers.retryAfterSeconds(refusal.retryAfterMillis()));
            return;
        }
        attemptCount++;
        Placement.Send send = (Placement.Send) placement;
        String resumeAfter = null;
        if (resumes) {
            current = Attempt.resumed(exchange, this, request, send);
            events.startNextRun();
            resumeAfter = Long.toString(events.lastEventId());
        } else {
            current = Attempt.fromStart(exchange, this, request, send);
            events = null;
        }
        ByteBuffer headBytes = head.encode(request, send, body.remaining(), resumeAfter, System.nanoTime());
        ByteBuffer[] message =
                body.hasRemaining() ? new ByteBuffer[] {headBytes, body.slice()} : new ByteBuffer[] {headBytes};
        current.send(context.client(), message, method);
    }

    /** The request as the planner sees it when its stream is resumed. */
    private static RouteRequest resumed(RouteRequest request) {
        return new RouteRequest(
                request.id(),
                request.route(),
                request.tenant(),
                request.model(),
                request.promptTokens(),
                request.maxOutputTokens(),
                request.segments(),
                true,
                request.receivedNanos(),
                request.deadlineNanos());
    }

    /** The assembler of a stream of events; null if the response is no stream that may be resumed. */
    EventStreamAssembler events() {
        return events;
    }

    /** As {@link #events}, created if the present response, a stream of events, is the first one. */
    EventStreamAssembler eventsOfStream() {
        if (events == null && RetrySafety.isResumable(routed.route())) {
            events = new EventStreamAssembler();
        }
        return events;
    }

    /** The first bytes of a response's body were received, or its end. */
    void onFirstBytes(Attempt from) {
        context.planner().onFirstEvent(from.request(), from.placement(), from.serverLoad());
    }

    /** An instance has reported the version of its weights; 0 if it has not. */
    void onWeightsVersion(Placement.Send send, long version) {
        if (version > 0 && routed.model() != null) {
            context.planner().onWeightsVersion(send.instance().id(), routed.model(), version);
        }
    }

    /** The head of an instance's response is forwarded to the client. */
    void forwardHead(int status, HttpFields fields) {
        exchange.on(ExchangeState.Event.RESPONSE_STARTED);
        exchange.response().forwardHead(status, fields);
    }

    /** The attempt has received a complete response; {@code lastBytes} have not been forwarded yet. */
    void onAnswered(Attempt from, AttemptOutcome outcome, ByteBuffer lastBytes) {
        reportEnd(from, outcome);
        current = null;
        exchange.finish(lastBytes);
    }

    /**
     * The attempt has ended without a complete response.
     *
     * @param cause null if the instance has rejected the request
     */
    void onFailed(Attempt from, AttemptOutcome outcome, Throwable cause) {
        reportEnd(from, outcome);
        current = null;
        exchange.on(ExchangeState.Event.ofEndedSend(from.sendState()));
        if (cause != null) {
            context.failures()
                    .record(outcome.name(), from.placement().instance().address(), cause);
        }
        String retryAfter = from.retryAfter() == null ? Exchange.RETRY_SOON : from.retryAfter();
        exchange.perform(exchange.state().afterSend(safety, nextAttempt()), retryAfter);
    }

    private NextAttempt nextAttempt() {
        int maxAttempts = Math.max(1, routed.route().retries());
        if (attemptCount >= maxAttempts || remainingNanos() <= 0) {
            return NextAttempt.NONE;
        }
        return events != null && events.canResume() ? NextAttempt.FROM_START_OR_RESUMED : NextAttempt.FROM_START;
    }

    /** Cancels the attempt in flight, if there is one, and reports it. */
    void cancelCurrent(AttemptOutcome outcome) {
        Attempt cancelled = current;
        if (cancelled != null) {
            current = null;
            AttemptOutcome ended = cancelled.cancel(outcome);
            exchange.on(ExchangeState.Event.ofEndedSend(cancelled.sendState()));
            reportEnd(cancelled, ended);
        }
    }

    /**
     * Cancels the attempt in flight, if there is one: the exchange has failed itself. The planner is told of its
     * end, as
     * of each attempt's; if that fails too, nothing more can be done for it.
     */
    void discardCurrent() {
        Attempt discarded = current;
        current = null;
        if (discarded == null) {
            return;
        }
        AttemptOutcome ended = discarded.cancel(AttemptOutcome.CANCELLED);
        try {
            reportEnd(discarded, ended);
        } catch (RuntimeException failure) {
            context.failures().record("INTERNAL_ERROR", "planner", failure);
        }
    }

    private void reportEnd(Attempt attempt, AttemptOutcome outcome) {
        context.planner().onEnded(attempt.request(), attempt.placement(), outcome, attempt.serverLoad());
    }
}
