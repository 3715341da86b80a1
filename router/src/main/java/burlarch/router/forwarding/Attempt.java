package burlarch.router.forwarding;

import burlarch.router.http.Headers;
import burlarch.router.http.HintHeaders;
import burlarch.router.upstream.RequestConnections;
import burlarch.router.upstream.SendState;
import burlarch.router.upstream.UpstreamCall;
import burlarch.router.upstream.UpstreamClient;
import burlarch.router.upstream.UpstreamListener;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One send of a request to one instance, and the forwarding of its response. {@link SendState} records what is
 * known about the send, {@link AttemptPhase} how far the response has been forwarded. State is changed only by
 * the serialized events of the exchange.
 */
final class Attempt implements UpstreamListener {
    private enum Kind {
        FROM_START,
        RESUMED
    }

    private final Exchange exchange;
    private final AttemptSequence attempts;
    private final RouteRequest request;
    private final Placement.Send placement;
    private final Kind kind;
    private final Callback writeCallback;
    private UpstreamCall call;
    private AttemptPhase phase = AttemptPhase.AWAITING_BODY;
    private SendState sendState = SendState.NOT_SENT;
    /** Outcome that is reported to the planner for a rejection; null unless the instance rejected the request. */
    private AttemptOutcome rejection;

    private String retryAfter;
    private ServerLoad serverLoad;
    private int status;
    private HttpFields headFields;
    private boolean eventStream;
    /** Bytes of the body that have not been received yet; negative if the head does not state the body length. */
    private long remainingBytes;
    /** The last bytes of a body with a Content-Length, held back until the response is complete. */
    private ByteBuffer lastBytes = BufferUtil.EMPTY_BUFFER;

    private Attempt(
            Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send placement, Kind kind) {
        this.exchange = exchange;
        this.attempts = attempts;
        this.request = request;
        this.placement = placement;
        this.kind = kind;
        this.writeCallback = Callback.from(
                Invocable.InvocationType.NON_BLOCKING,
                () -> exchange.serialize(this::onForwarded),
                cause -> exchange.serialize(exchange::onClientDisconnected));
    }

    /** Creates an attempt whose response is forwarded from its beginning. */
    static Attempt fromStart(
            Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send placement) {
        return new Attempt(exchange, attempts, request, placement, Kind.FROM_START);
    }

    /** Creates an attempt that continues an event stream of which an earlier attempt forwarded the beginning. */
    static Attempt resumed(
            Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send placement) {
        return new Attempt(exchange, attempts, request, placement, Kind.RESUMED);
    }

    /** The request as it was passed to the planner. */
    RouteRequest request() {
        return request;
    }

    Placement.Send placement() {
        return placement;
    }

    /** What is known about the send so far. */
    SendState sendState() {
        return sendState;
    }

    /** Value of the Retry-After header of the response, or null. */
    String retryAfter() {
        return retryAfter;
    }

    /** Load that the instance reported in its response, or null. */
    ServerLoad serverLoad() {
        return serverLoad;
    }

    /**
     * Sends the request.
     *
     * @param message head and body of the request
     * @param method HTTP method of the request
     * @param requestConnections connections over which earlier attempts of the request were sent
     */
    void send(UpstreamClient client, ByteBuffer[] message, String method, RequestConnections requestConnections) {
        call = new UpstreamCall(placement.instance().address(), message, method, requestConnections, this);
        client.send(call);
    }

    /**
     * Cancels the attempt.
     *
     * @param outcome reported if the request may have been executed
     * @return {@code outcome}, or the definite outcome if the request was not sent or was rejected
     */
    AttemptOutcome cancel(AttemptOutcome outcome) {
        phase = phase.on(AttemptPhase.Event.END);
        recordSendState(call.cancel());
        return outcomeOr(outcome);
    }

    /** The outcome of a send without a complete response; {@code outcomeIfExecuted} if it may have been executed. */
    private AttemptOutcome outcomeOr(AttemptOutcome outcomeIfExecuted) {
        return switch (sendState) {
            case NOT_SENT -> AttemptOutcome.NOT_CONNECTED;
            case REJECTED -> rejection;
            default -> outcomeIfExecuted;
        };
    }

    /** Records how much of the request was written; ignored once a response has begun, which says more. */
    private void recordSendState(SendState sent) {
        if (sendState == SendState.NOT_SENT && sent != SendState.NOT_SENT) {
            sendState = sendState.transitionTo(sent);
        }
    }

    private boolean hasEnded() {
        return phase == AttemptPhase.ENDED;
    }

    @Override
    public void onHead(int code, HttpFields fields, long contentLength) {
        exchange.serialize(() -> handleHead(code, fields, contentLength));
    }

    @Override
    public void onContent(ByteBuffer content) {
        exchange.serialize(() -> handleContent(content));
    }

    @Override
    public void onComplete() {
        exchange.serialize(this::handleComplete);
    }

    @Override
    public void onFailure(SendState sent, Throwable cause) {
        exchange.serialize(() -> handleFailure(sent, cause));
    }

    private void handleHead(int code, HttpFields fields, long contentLength) {
        if (hasEnded()) {
            return;
        }
        serverLoad = HintHeaders.serverLoad(fields.get(Headers.SERVER_LOAD));
        if (!request.id().equals(Headers.singleValue(fields, Headers.REQUEST_ID))) {
            fail("response carries the id of another request");
            return;
        }
        attempts.onWeightsVersion(placement, Headers.parseNumber(fields.get(Headers.VERSIONS), 0));
        rejection = ResponseRules.rejection(code, fields);
        sendState = sendState.transitionTo(rejection == null ? SendState.PARTLY_RESPONDED : SendState.REJECTED);
        retryAfter = fields.get(Headers.RETRY_AFTER);
        status = code;
        headFields = fields;
        eventStream = ResponseRules.isEventStream(code, fields);
        remainingBytes = contentLength;
        if (rejection == null && !ResponseRules.mayForward(code, fields)) {
            fail("response has a status or headers that an instance must not send");
        } else if (rejection == null && kind == Kind.RESUMED && !eventStream) {
            fail("response to a resumed request is not an event stream");
        }
    }

    private void fail(String reason) {
        phase = phase.on(AttemptPhase.Event.END);
        recordSendState(call.cancel());
        attempts.onFailed(this, outcomeOr(AttemptOutcome.BROKEN), new IOException(reason));
    }

    private void handleContent(ByteBuffer content) {
        if (hasEnded()) {
            return;
        }
        if (rejection != null) {
            call.proceed();
            return;
        }
        EventStreamAssembler events = eventStream ? attempts.eventAssemblerOfStream() : attempts.eventAssembler();
        if (events != null) {
            forwardEvents(events, content);
        } else if (remainingBytes == content.remaining()) {
            holdLastBytes(content);
        } else {
            remainingBytes -= content.remaining();
            forward(content);
        }
    }

    /** Holds back the last bytes of a body until the response is known to be complete. */
    private void holdLastBytes(ByteBuffer content) {
        remainingBytes = 0;
        lastBytes = BufferUtil.copy(content);
        call.proceed();
    }

    private void forwardEvents(EventStreamAssembler events, ByteBuffer content) {
        ByteBuffer complete = events.accept(content);
        attempts.onWeightsVersion(placement, events.takeWeightsVersion());
        if (complete.hasRemaining()) {
            forward(complete);
        } else if (events.isInvalid()) {
            fail("event is too large or does not follow the last forwarded event");
        } else {
            call.proceed();
        }
    }

    private void forward(ByteBuffer content) {
        startBody();
        exchange.response().write(content, writeCallback);
    }

    /** Forwards the head before the first bytes of the body; the head of a resumed stream was already forwarded. */
    private void startBody() {
        if (phase == AttemptPhase.AWAITING_BODY) {
            phase = phase.on(AttemptPhase.Event.BODY_STARTED);
            attempts.onBodyStarted(this);
            if (kind == Kind.FROM_START) {
                attempts.forwardHead(status, headFields);
            }
        }
    }

    private void handleComplete() {
        if (hasEnded()) {
            return;
        }
        if (rejection != null) {
            phase = phase.on(AttemptPhase.Event.END);
            attempts.onFailed(this, rejection, null);
            return;
        }
        startBody();
        EventStreamAssembler events = attempts.eventAssembler();
        if (events != null && events.hasIncompleteEvent()) {
            phase = phase.on(AttemptPhase.Event.BODY_RECEIVED);
            exchange.response().write(events.releaseIncompleteEvent(), writeCallback);
            return;
        }
        finish();
    }

    private void finish() {
        phase = phase.on(AttemptPhase.Event.END);
        sendState = sendState.transitionTo(SendState.RESPONDED);
        attempts.onResponded(this, ResponseRules.outcome(status), lastBytes);
    }

    private void handleFailure(SendState sent, Throwable cause) {
        if (hasEnded()) {
            return;
        }
        phase = phase.on(AttemptPhase.Event.END);
        recordSendState(sent);
        attempts.onFailed(this, outcomeOr(AttemptOutcome.BROKEN), cause);
    }

    /** Called when the content was written to the client's connection: the next bytes may be read. */
    private void onForwarded() {
        if (hasEnded()) {
            return;
        }
        if (phase == AttemptPhase.WRITING_LAST_BYTES) {
            finish();
        } else {
            call.proceed();
        }
    }
}
