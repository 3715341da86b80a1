package burlarch.router.forwarding;

import burlarch.router.http.Headers;
import burlarch.router.http.HintHeaders;
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
 * One send of a request to one instance, and the forwarding of its response. {@link SendState} says what is
 * known of the send, {@link AttemptPhase} how far the response has been forwarded. All its state changes in
 * the serialized events of its exchange.
 */
final class Attempt implements UpstreamListener {
    private enum Kind {
        FROM_START,
        RESUMED
    }

    private final Exchange exchange;
    private final AttemptSequence attempts;
    private final RouteRequest request;
    private final Placement.Send send;
    private final Kind kind;
    private final Callback forwarded;
    private UpstreamCall call;
    private AttemptPhase phase = AttemptPhase.AWAITING_BODY;
    private SendState sendState = SendState.NOT_SENT;
    /** How the planner counts the rejection; null unless the instance has rejected the request. */
    private AttemptOutcome rejection;

    private String retryAfter;
    private ServerLoad serverLoad;
    private int status;
    private HttpFields head;
    private boolean eventStream;
    /** Bytes of the body that are still to come; negative if the head does not state them. */
    private long remainingBytes;
    /** The end of a body with a Content-Length, held back until the response is complete. */
    private ByteBuffer lastBytes = BufferUtil.EMPTY_BUFFER;

    private Attempt(Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send send, Kind kind) {
        this.exchange = exchange;
        this.attempts = attempts;
        this.request = request;
        this.send = send;
        this.kind = kind;
        this.forwarded = Callback.from(
                Invocable.InvocationType.NON_BLOCKING,
                () -> exchange.serialize(this::onForwarded),
                cause -> exchange.serialize(exchange::onClientDisconnected));
    }

    /** An attempt whose response is the first of its exchange to be forwarded. */
    static Attempt fromStart(Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send send) {
        return new Attempt(exchange, attempts, request, send, Kind.FROM_START);
    }

    /** An attempt that continues a stream which another attempt has begun. */
    static Attempt resumed(Exchange exchange, AttemptSequence attempts, RouteRequest request, Placement.Send send) {
        return new Attempt(exchange, attempts, request, send, Kind.RESUMED);
    }

    /** The request as it was placed. */
    RouteRequest request() {
        return request;
    }

    Placement.Send placement() {
        return send;
    }

    /** What is known of the send by now. */
    SendState sendState() {
        return sendState;
    }

    /** Retry-After of the response, or null. */
    String retryAfter() {
        return retryAfter;
    }

    /** Load that the instance has reported, or null. */
    ServerLoad serverLoad() {
        return serverLoad;
    }

    /**
     * Sends the request.
     *
     * @param method of the request
     */
    void send(UpstreamClient client, ByteBuffer[] message, String method) {
        call = new UpstreamCall(send.instance().address(), message, method, this);
        client.send(call);
    }

    /**
     * Cancels the attempt.
     *
     * @return {@code outcome}, or what is known better: that it was not sent or was rejected
     */
    AttemptOutcome cancel(AttemptOutcome outcome) {
        phase = phase.on(AttemptPhase.Event.END);
        learnSendState(call.cancel());
        return outcomeOr(outcome);
    }

    /** The outcome of a send without a complete response; {@code unknown} if it may have run. */
    private AttemptOutcome outcomeOr(AttemptOutcome unknown) {
        return switch (sendState) {
            case NOT_SENT -> AttemptOutcome.NOT_CONNECTED;
            case REJECTED -> rejection;
            default -> unknown;
        };
    }

    /** How much of the request was written adds nothing once a response to it has begun. */
    private void learnSendState(SendState sent) {
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
            fail("response to another request");
            return;
        }
        attempts.onWeightsVersion(send, Headers.parseNumber(fields.get(Headers.VERSIONS), 0));
        rejection = ResponseRules.rejection(code, fields);
        sendState = sendState.transitionTo(rejection == null ? SendState.PARTLY_RESPONDED : SendState.REJECTED);
        retryAfter = fields.get(Headers.RETRY_AFTER);
        status = code;
        head = fields;
        eventStream = ResponseRules.isEventStream(code, fields);
        remainingBytes = contentLength;
        if (rejection == null && !ResponseRules.mayForward(code, fields)) {
            fail("response that no instance sends");
        } else if (rejection == null && kind == Kind.RESUMED && !eventStream) {
            fail("no event stream to resume");
        }
    }

    private void fail(String reason) {
        phase = phase.on(AttemptPhase.Event.END);
        learnSendState(call.cancel());
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
        EventStreamAssembler events = eventStream ? attempts.eventsOfStream() : attempts.events();
        if (events != null) {
            forwardEvents(events, content);
        } else if (remainingBytes == content.remaining()) {
            holdLastBytes(content);
        } else {
            remainingBytes -= content.remaining();
            forward(content);
        }
    }

    /** The end of a body is held back until the response is known to be complete. */
    private void holdLastBytes(ByteBuffer content) {
        remainingBytes = 0;
        lastBytes = BufferUtil.copy(content);
        call.proceed();
    }

    private void forwardEvents(EventStreamAssembler events, ByteBuffer content) {
        ByteBuffer complete = events.accept(content);
        attempts.onWeightsVersion(send, events.takeWeightsVersion());
        if (complete.hasRemaining()) {
            forward(complete);
        } else if (events.isBroken()) {
            fail("events that do not follow the last run");
        } else {
            call.proceed();
        }
    }

    private void forward(ByteBuffer content) {
        startBody();
        exchange.response().write(content, forwarded);
    }

    /** Forwards the head before the first bytes of the body; a resumed stream has had its head. */
    private void startBody() {
        if (phase == AttemptPhase.AWAITING_BODY) {
            phase = phase.on(AttemptPhase.Event.BODY_STARTED);
            attempts.onFirstBytes(this);
            if (kind == Kind.FROM_START) {
                attempts.forwardHead(status, head);
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
        EventStreamAssembler events = attempts.events();
        if (events != null && events.hasIncompleteEvent()) {
            phase = phase.on(AttemptPhase.Event.BODY_RECEIVED);
            exchange.response().write(events.takeRest(), forwarded);
            return;
        }
        finish();
    }

    private void finish() {
        phase = phase.on(AttemptPhase.Event.END);
        sendState = sendState.transitionTo(SendState.RESPONDED);
        attempts.onAnswered(this, ResponseRules.outcome(status), lastBytes);
    }

    private void handleFailure(SendState sent, Throwable cause) {
        if (hasEnded()) {
            return;
        }
        phase = phase.on(AttemptPhase.Event.END);
        learnSendState(sent);
        attempts.onFailed(this, outcomeOr(AttemptOutcome.BROKEN), cause);
    }

    /** The content was written to the client's connection: the instance may send more. */
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
