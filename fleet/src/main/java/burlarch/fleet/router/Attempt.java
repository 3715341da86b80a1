package burlarch.fleet.router;

import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.ServerLoad;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/** One send of a request to one server. All is done in turn with the other events of its exchange. */
final class Attempt implements EngineListener {
    private final Exchange exchange;
    private final Placement.Send send;
    private EngineCall call;
    private boolean over;
    private AttemptOutcome rejection;
    private String retryAfter;
    private ServerLoad load;
    private int status;
    private HttpFields head;
    private boolean firstSeen;

    Attempt(Exchange exchange, Placement.Send send) {
        this.exchange = exchange;
        this.send = send;
    }

    Placement.Send placement() {
        return send;
    }

    /** Retry-After of a rejection, or null. */
    String retryAfter() {
        return retryAfter;
    }

    ServerLoad load() {
        return load;
    }

    void begin(EngineClient client, ByteBuffer[] message, boolean headMethod) {
        call = new EngineCall(send.instance().address(), message, headMethod, this);
        client.send(call);
    }

    /** Gives it up from this side. Returns how it ended, if it had not already. */
    AttemptOutcome cancel(AttemptOutcome outcome) {
        over = true;
        boolean written = call.cancel();
        if (rejection != null) {
            return rejection;
        }
        return written ? outcome : AttemptOutcome.NOT_CONNECTED;
    }

    @Override
    public void onHead(int code, HttpFields fields, long length) {
        exchange.inTurn(() -> handleHead(code, fields));
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
    public void onFailure(boolean sent, Throwable cause) {
        exchange.inTurn(() -> handleFailure(sent, cause));
    }

    private void handleHead(int code, HttpFields fields) {
        if (over) {
            return;
        }
        load = RequestHints.load(fields.get(Headers.SERVER_LOAD));
        if (!exchange.id().equals(Headers.single(fields, Headers.REQUEST_ID))) {
            breakOff("answer to another request");
            return;
        }
        exchange.learnVersion(send, fields.get(Headers.VERSIONS));
        if (code == 421) {
            rejection = AttemptOutcome.MISDIRECTED;
        } else if (fields.contains(Headers.NOT_EXECUTED)) {
            rejection = AttemptOutcome.REJECTED;
        }
        retryAfter = fields.get(Headers.RETRY_AFTER);
        status = code;
        head = fields;
        if (rejection == null && !mayPass(code, fields)) {
            breakOff("answer that no server gives");
        }
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

    private void breakOff(String reason) {
        call.cancel();
        IOException cause = new IOException(reason);
        over = true;
        exchange.attemptFailed(this, AttemptOutcome.BROKEN, cause);
    }

    private void handleContent(ByteBuffer content) {
        if (over) {
            return;
        }
        if (rejection != null) {
            call.proceed();
            return;
        }
        passHead();
        exchange.answer().write(content, new Passed());
    }

    private void passHead() {
        if (!firstSeen) {
            firstSeen = true;
            exchange.first(this);
            exchange.answer().head(status, head);
        }
    }

    private void handleComplete() {
        if (over) {
            return;
        }
        over = true;
        if (rejection != null) {
            exchange.attemptFailed(this, rejection, null);
            return;
        }
        passHead();
        exchange.attemptAnswered(this, status >= 500 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED);
    }

    private void handleFailure(boolean sent, Throwable cause) {
        if (over) {
            return;
        }
        over = true;
        AttemptOutcome outcome = sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED;
        exchange.attemptFailed(this, rejection == null ? outcome : rejection, cause);
    }

    /** The content is with the client's connection: the server may send on. */
    private final class Passed implements Callback {
        @Override
        public void succeeded() {
            exchange.inTurn(Attempt.this::proceed);
        }

        @Override
        public void failed(Throwable cause) {
            exchange.inTurn(exchange::clientGone);
        }

        @Override
        public Invocable.InvocationType getInvocationType() {
            return Invocable.InvocationType.NON_BLOCKING;
        }
    }

    private void proceed() {
        if (!over) {
            call.proceed();
        }
    }
}
