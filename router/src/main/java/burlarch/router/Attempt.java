package burlarch.router;

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

/** One send of a request to one server. All is done in turn with the other events of its exchange. */
final class Attempt implements UpstreamListener {
    private final Exchange exchange;
    private final RouteRequest request;
    private final Placement.Send send;
    /** Whether it takes up a stream that another attempt began. */
    private final boolean takesUp;

    private final Callback passed;
    private UpstreamCall call;
    private boolean over;
    private SendState state = SendState.NOT_SENT;
    /** What a rejection is to the planner; null without one. */
    private AttemptOutcome rejection;

    private String retryAfter;
    private ServerLoad load;
    private int status;
    private HttpFields head;
    /** Bytes of the body that are still to come, negative where the head did not tell. */
    private long left;

    private ByteBuffer tail = BufferUtil.EMPTY_BUFFER;
    private boolean firstSeen;
    private boolean complete;

    Attempt(Exchange exchange, RouteRequest request, Placement.Send send, boolean takesUp) {
        this.exchange = exchange;
        this.request = request;
        this.send = send;
        this.takesUp = takesUp;
        this.passed = Callback.from(
                Invocable.InvocationType.NON_BLOCKING,
                () -> exchange.inTurn(this::proceed),
                cause -> exchange.inTurn(exchange::clientGone));
    }

    /** The request as it was placed. */
    RouteRequest request() {
        return request;
    }

    Placement.Send placement() {
        return send;
    }

    /** What is known of it by now. */
    SendState state() {
        return state;
    }

    /** Retry-After of a rejection, or null. */
    String retryAfter() {
        return retryAfter;
    }

    ServerLoad load() {
        return load;
    }

    void begin(UpstreamClient client, ByteBuffer[] message, boolean headMethod) {
        call = new UpstreamCall(send.instance().address(), message, headMethod, this);
        client.send(call);
    }

    /** Gives it up from this side. Returns how it ended, if it had not already. */
    AttemptOutcome cancel(AttemptOutcome outcome) {
        over = true;
        learn(call.cancel());
        return ended(outcome);
    }

    /** How it ended without a whole answer; {@code unclear} where it may have run. */
    private AttemptOutcome ended(AttemptOutcome unclear) {
        return switch (state) {
            case NOT_SENT -> AttemptOutcome.NOT_CONNECTED;
            case REJECTED -> rejection;
            default -> unclear;
        };
    }

    /** How much of the request is out tells nothing more once an answer to it has begun. */
    private void learn(SendState sent) {
        if (state == SendState.NOT_SENT && sent != SendState.NOT_SENT) {
            state = state.to(sent);
        }
    }

    @Override
    public void onHead(int code, HttpFields fields, long length) {
        exchange.inTurn(() -> handleHead(code, fields, length));
    }

    @Override
    public void onContent(ByteBuffer content) {
        exchange.inTurn(() -> handleContent(content));
    }

    @Override
    public void onComplete() {
        exchange.inTurn(this::handleComplete);
    }

    @Override
    public void onFailure(SendState sent, Throwable cause) {
        exchange.inTurn(() -> handleFailure(sent, cause));
    }

    private void handleHead(int code, HttpFields fields, long length) {
        if (over) {
            return;
        }
        load = HintHeaders.load(fields.get(Headers.SERVER_LOAD));
        if (!request.id().equals(Headers.single(fields, Headers.REQUEST_ID))) {
            breakOff("answer to another request");
            return;
        }
        exchange.learnVersion(send, Headers.number(fields.get(Headers.VERSIONS), 0));
        rejection = rejection(code, fields);
        state = state.to(rejection == null ? SendState.ANSWERED_IN_PART : SendState.REJECTED);
        retryAfter = fields.get(Headers.RETRY_AFTER);
        status = code;
        head = fields;
        left = length;
        if (rejection == null && !mayPass(code, fields)) {
            breakOff("answer that no server gives");
        } else if (rejection == null && takesUp && !isEventStream(code, fields)) {
            breakOff("no stream to go on with");
        }
    }

    private static AttemptOutcome rejection(int code, HttpFields fields) {
        if (code == 421) {
            return AttemptOutcome.MISDIRECTED;
        }
        return fields.contains(Headers.NOT_EXECUTED) ? AttemptOutcome.REJECTED : null;
    }

    /**
     * A success has to carry the server's stamp and its own bytes, and only what is marked as not executed
     * may go to the client as a promise.
     */
    private static boolean mayPass(int code, HttpFields fields) {
        if (code == 408 || code == 429 || code == 503) {
            return false;
        }
        return code >= 300 || fields.contains(Headers.SIGNATURE) && !fields.contains("Content-Encoding");
    }

    private static boolean isEventStream(int code, HttpFields fields) {
        String type = fields.get("Content-Type");
        return code == 200 && type != null && type.startsWith("text/event-stream");
    }

    private void breakOff(String reason) {
        over = true;
        learn(call.cancel());
        exchange.attemptFailed(this, ended(AttemptOutcome.BROKEN), new IOException(reason));
    }

    private void handleContent(ByteBuffer content) {
        if (over) {
            return;
        }
        if (rejection != null) {
            call.proceed();
            return;
        }
        EventStreamAssembler relay = exchange.relay(isEventStream(status, head));
        if (relay != null) {
            relayEvents(relay, content);
        } else if (left == content.remaining()) {
            holdTail(content);
        } else {
            left -= content.remaining();
            pass(content);
        }
    }

    /** The end of a body goes out once the answer is known to be whole: the client is the last to know. */
    private void holdTail(ByteBuffer content) {
        left = 0;
        tail = BufferUtil.copy(content);
        call.proceed();
    }

    private void relayEvents(EventStreamAssembler relay, ByteBuffer content) {
        ByteBuffer whole = relay.accept(content);
        exchange.learnVersion(send, relay.takeVersion());
        if (whole.hasRemaining()) {
            pass(whole);
        } else if (relay.isBroken()) {
            breakOff("events that do not go on where the last run ended");
        } else {
            call.proceed();
        }
    }

    private void pass(ByteBuffer content) {
        passHead();
        exchange.answer().write(content, passed);
    }

    private void passHead() {
        if (!firstSeen) {
            firstSeen = true;
            exchange.first(this);
            if (!takesUp) {
                exchange.passHead(status, head);
            }
        }
    }

    private void handleComplete() {
        if (over) {
            return;
        }
        if (rejection != null) {
            over = true;
            exchange.attemptFailed(this, rejection, null);
            return;
        }
        passHead();
        EventStreamAssembler relay = exchange.relay(false);
        if (relay != null && relay.hasRest()) {
            complete = true;
            exchange.answer().write(relay.rest(), passed);
            return;
        }
        answered();
    }

    private void answered() {
        over = true;
        state = state.to(SendState.ANSWERED);
        exchange.attemptAnswered(this, status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED, tail);
    }

    private void handleFailure(SendState sent, Throwable cause) {
        if (over) {
            return;
        }
        over = true;
        learn(sent);
        exchange.attemptFailed(this, ended(AttemptOutcome.BROKEN), cause);
    }

    /** The content is with the client's connection: the server may send on. */
    private void proceed() {
        if (over) {
            return;
        }
        if (complete) {
            answered();
        } else {
            call.proceed();
        }
    }
}
