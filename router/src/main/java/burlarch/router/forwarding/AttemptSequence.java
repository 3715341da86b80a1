package burlarch.router.forwarding;

import burlarch.router.forwarding.ExchangeState.NextAttempt;
import burlarch.router.http.Headers;
import burlarch.router.upstream.RequestConnections;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * The consecutive attempts of one exchange. It has the planner place each attempt, sends it, and reports its
 * outcome to the planner exactly once. Runs in the serialized events of its exchange.
 */
final class AttemptSequence {
    /** The response at the deadline is sent this much earlier so that it arrives in time. */
    private static final long DEADLINE_MARGIN_NANOS = 5_000_000;

    private final Exchange exchange;
    private final ForwardingContext context;
    private final RouteRequest routedRequest;
    private final RetrySafety safety;
    private final ForwardedRequestHead head;
    private final String method;
    private final ByteBuffer body;
    private final RequestConnections requestConnections = new RequestConnections();
    /** The attempt in flight, or null. */
    private Attempt currentAttempt;

    private int attemptCount;
    /** Null unless the response is an event stream that may be resumed. */
    private EventStreamAssembler eventAssembler;

    AttemptSequence(
            Exchange exchange,
            ForwardingContext context,
            RouteRequest routedRequest,
            Request request,
            ByteBuffer body) {
        this.exchange = exchange;
        this.context = context;
        this.routedRequest = routedRequest;
        this.safety = RetrySafety.of(routedRequest.route());
        this.method = request.getMethod();
        this.head = new ForwardedRequestHead(method, request.getHttpURI().getPathQuery(), request.getHeaders());
        this.body = body;
    }

    /** Time until the exchange has to end, in nanoseconds; zero or negative once it has passed. */
    long remainingNanos() {
        return routedRequest.deadlineNanos() - DEADLINE_MARGIN_NANOS - System.nanoTime();
    }

    /** Places and sends the next attempt, or ends the exchange if the planner refuses to place it. */
    void startNext() {
        boolean isResuming = exchange.state() == ExchangeState.RESPONDING;
        RouteRequest request = isResuming ? withResume(routedRequest) : routedRequest;
        Placement placement = context.planner().place(request, attemptCount);
        if (placement instanceof Placement.Reject refusal) {
            exchange.perform(
                    exchange.state().withoutFurtherSend(), Headers.retryAfterSeconds(refusal.retryAfterMillis()));
            return;
        }
        attemptCount++;
        Placement.Send send = (Placement.Send) placement;
        String resumeAfterEventId = null;
        if (isResuming) {
            currentAttempt = Attempt.resumed(exchange, this, request, send);
            eventAssembler.startNextRun();
            resumeAfterEventId = Long.toString(eventAssembler.lastEventId());
        } else {
            currentAttempt = Attempt.fromStart(exchange, this, request, send);
            eventAssembler = null;
        }
        ByteBuffer encodedHead = head.encode(request, send, body.remaining(), resumeAfterEventId, System.nanoTime());
        ByteBuffer[] message =
                body.hasRemaining() ? new ByteBuffer[] {encodedHead, body.slice()} : new ByteBuffer[] {encodedHead};
        currentAttempt.send(context.client(), message, method, requestConnections);
    }

    /** Returns a copy of the request that is marked as resuming a stream. */
    private static RouteRequest withResume(RouteRequest request) {
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

    /** The assembler of the event stream; null if the response is not an event stream that may be resumed. */
    EventStreamAssembler eventAssembler() {
        return eventAssembler;
    }

    /** As {@link #eventAssembler}, for a response that is an event stream: creates the assembler for the first one. */
    EventStreamAssembler eventAssemblerOfStream() {
        if (eventAssembler == null && RetrySafety.isResumable(routedRequest.route())) {
            eventAssembler = new EventStreamAssembler();
        }
        return eventAssembler;
    }

    /** Called when the first bytes of a response body, or its end, were received. */
    void onBodyStarted(Attempt attempt) {
        context.planner().onFirstEvent(attempt.request(), attempt.placement(), attempt.serverLoad());
    }

    /** Called when an instance has reported the version of its weights; 0 means that it has not. */
    void onWeightsVersion(Placement.Send send, long version) {
        if (version > 0 && routedRequest.model() != null) {
            context.planner().onWeightsVersion(send.instance().id(), routedRequest.model(), version);
        }
    }

    /** Forwards the head of an instance's response to the client. */
    void forwardHead(int status, HttpFields fields) {
        exchange.on(ExchangeState.Event.RESPONSE_STARTED);
        exchange.response().forwardHead(status, fields);
    }

    /** Called when an attempt received a complete response; {@code lastBytes} have not been forwarded yet. */
    void onResponded(Attempt attempt, AttemptOutcome outcome, ByteBuffer lastBytes) {
        reportOutcome(attempt, outcome);
        currentAttempt = null;
        exchange.finish(lastBytes);
    }

    /**
     * Called when an attempt has ended without a complete response.
     *
     * @param cause null if the instance rejected the request
     */
    void onFailed(Attempt attempt, AttemptOutcome outcome, Throwable cause) {
        reportOutcome(attempt, outcome);
        currentAttempt = null;
        exchange.on(ExchangeState.Event.ofEndedSend(attempt.sendState()));
        if (cause != null) {
            context.failures()
                    .record(outcome.name(), attempt.placement().instance().address(), cause);
        }
        String retryAfter = attempt.retryAfter() == null ? Exchange.RETRY_AFTER_REJECTION : attempt.retryAfter();
        exchange.perform(exchange.state().afterSend(safety, nextAttempt()), retryAfter);
    }

    private NextAttempt nextAttempt() {
        int maxAttempts = Math.max(1, routedRequest.route().retries());
        if (attemptCount >= maxAttempts
                || remainingNanos() <= 0
                || context.drain().isOver()) {
            return NextAttempt.NONE;
        }
        return eventAssembler != null && eventAssembler.canResume()
                ? NextAttempt.FROM_START_OR_RESUMED
                : NextAttempt.FROM_START;
    }

    /** Cancels the attempt in flight, if there is one, and reports its outcome. */
    void cancelCurrent(AttemptOutcome outcome) {
        Attempt cancelled = currentAttempt;
        if (cancelled != null) {
            currentAttempt = null;
            AttemptOutcome finalOutcome = cancelled.cancel(outcome);
            exchange.on(ExchangeState.Event.ofEndedSend(cancelled.sendState()));
            reportOutcome(cancelled, finalOutcome);
        }
    }

    /**
     * Cancels the attempt in flight, if there is one, after an internal error of the exchange. The outcome is
     * still reported to the planner; if the report fails too, the failure is only logged.
     */
    void discardCurrent() {
        Attempt discarded = currentAttempt;
        currentAttempt = null;
        if (discarded == null) {
            return;
        }
        AttemptOutcome finalOutcome = discarded.cancel(AttemptOutcome.CANCELLED);
        try {
            reportOutcome(discarded, finalOutcome);
        } catch (RuntimeException failure) {
            context.failures().record("INTERNAL_ERROR", "planner", failure);
        }
    }

    private void reportOutcome(Attempt attempt, AttemptOutcome outcome) {
        context.planner().onEnded(attempt.request(), attempt.placement(), outcome, attempt.serverLoad());
    }
}
