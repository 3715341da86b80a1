package burlarch.router.forwarding;

import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.RouteTable;
import burlarch.router.http.Headers;
import burlarch.router.server.ClientResponse;
import burlarch.router.server.ClientResponse.ConnectionAfter;
import burlarch.router.server.RequestBodyReader;
import burlarch.router.server.RequestReader;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.RouteRequest;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * One request of a client, from its head to the end of its response. It receives and checks the request, leaves
 * the attempts to its {@link AttemptSequence}, and ends the response. Its {@link ExchangeState} decides what
 * follows an attempt; the exchange only carries it out.
 *
 * <p>Threads: the events of an exchange are serialized by its invoker and run on whatever thread brings them;
 * {@link #start} runs before the first of them. All state is owned by the exchange.
 */
public final class Exchange implements RequestBodyReader.Listener {
    /** Retry-After, in seconds, if this router cannot take a request for the moment. */
    static final String RETRY_SOON = "0.2";
    /** Retry-After, in seconds, if another router can take the request at once. */
    private static final String RETRY_ELSEWHERE = "0.02";

    /** How much earlier than its client gives up a request ends that waits for the first configuration. */
    private static final long CLIENT_WAIT_MARGIN_MILLIS = 50;

    private final ForwardingContext context;
    private final Request request;
    private final ClientResponse response;
    private final SerializedInvoker invoker = new SerializedInvoker() {
        @Override
        protected void onError(Runnable event, Throwable failure) {
            onInternalError(failure);
        }
    };
    private ExchangeState state = ExchangeState.RECEIVING;
    /** Whether the startup gate was closed when the request came, so that it may have waited. */
    private boolean mayHaveWaited;
    /** Null until it is received and counted in the budget for bodies. */
    private ByteBuffer body;
    /** Null until the request is accepted. */
    private AttemptSequence attempts;
    /** Null until the request is accepted. */
    private Scheduler.Task deadlineTimer;

    /** An exchange that has not started. */
    public Exchange(ForwardingContext context, Request request, ClientResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
    }

    /** Runs an event of this exchange, after those that came before it. */
    void serialize(Runnable event) {
        invoker.run(event);
    }

    ClientResponse response() {
        return response;
    }

    ExchangeState state() {
        return state;
    }

    void on(ExchangeState.Event event) {
        state = state.on(event);
    }

    private boolean hasEnded() {
        return state == ExchangeState.ENDED;
    }

    /** Starts to receive the request, once the startup gate lets it pass. */
    public void start() {
        if (request.getConnectionMetaData().getHttpVersion() != HttpVersion.HTTP_1_1) {
            respond(505, null, ConnectionAfter.CLOSED);
            return;
        }
        if (HttpMethod.CONNECT.is(request.getMethod())) {
            respond(400, null, ConnectionAfter.CLOSED);
            return;
        }
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(cause -> serialize(this::onClientDisconnected));
        mayHaveWaited = !context.startupGate().isOpen();
        context.startupGate().pass(() -> serialize(this::readBody), clientWaitMillis());
    }

    /** How long the client waits by its own word, less the time that the response takes; long if it does not say. */
    private long clientWaitMillis() {
        long millis = Headers.parseNumber(request.getHeaders().get(Headers.DEADLINE), Long.MAX_VALUE);
        return millis - CLIENT_WAIT_MARGIN_MILLIS;
    }

    private void readBody() {
        if (hasEnded()) {
            return;
        }
        RouteTable table = context.routeTable();
        if (table == null) {
            respond(503, RETRY_SOON, ConnectionAfter.REUSABLE);
            return;
        }
        Limits limits = table.configuration().limits();
        int maxBytes = limits == null ? Integer.MAX_VALUE : limits.maxBodyBytes();
        if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
            onTooLarge();
            return;
        }
        new RequestBodyReader(request, maxBytes, this).run();
    }

    @Override
    public void onTooLarge() {
        serialize(() -> respond(413, null, ConnectionAfter.CLOSED));
    }

    @Override
    public void onFailure(Throwable cause) {
        serialize(
                cause instanceof TimeoutException
                        ? () -> respond(408, null, ConnectionAfter.CLOSED)
                        : this::onClientDisconnected);
    }

    @Override
    public void onBody(ByteBuffer complete) {
        serialize(() -> onRequestComplete(complete));
    }

    private void onRequestComplete(ByteBuffer complete) {
        if (hasEnded()) {
            return;
        }
        if (!response.isConnected()) {
            onClientDisconnected();
            return;
        }
        if (!context.bodies().tryReserve(complete.remaining())) {
            respond(503, RETRY_SOON, ConnectionAfter.REUSABLE);
            return;
        }
        body = complete;
        RouteTable table = context.routeTable();
        RequestReader.Result result =
                RequestReader.read(table, request.getHttpURI(), request.getHeaders(), request.getHeadersNanoTime());
        if (result instanceof RequestReader.Rejected rejected) {
            respond(rejected.status(), null, ConnectionAfter.REUSABLE);
            return;
        }
        RouteRequest routed = ((RequestReader.Accepted) result).request();
        if (needsKey(table, routed) && !context.credentials().mayAccept(routed.receivedNanos())) {
            respond(503, RETRY_SOON, ConnectionAfter.REUSABLE);
            return;
        }
        forward(routed);
    }

    private static boolean needsKey(RouteTable table, RouteRequest routed) {
        return table.requiresKey() && !routed.route().isPublic();
    }

    private void forward(RouteRequest routed) {
        on(ExchangeState.Event.REQUEST_RECEIVED);
        if (!context.drain().accepts(routed.deadlineNanos())) {
            respond(503, RETRY_ELSEWHERE, ConnectionAfter.CLOSED);
            return;
        }
        attempts = new AttemptSequence(this, context, routed, request, body);
        if (!watchClient()) {
            onClientDisconnected();
            return;
        }
        long remainingNanos = attempts.remainingNanos();
        if (remainingNanos <= 0) {
            respond(503, RETRY_SOON, ConnectionAfter.REUSABLE);
            return;
        }
        deadlineTimer =
                context.scheduler().schedule(() -> serialize(this::onDeadline), remainingNanos, TimeUnit.NANOSECONDS);
        attempts.next();
    }

    /** Starts to watch the client's connection. Returns false if the client has left. */
    private boolean watchClient() {
        Runnable onDisconnect = () -> serialize(this::onClientDisconnected);
        if (mayHaveWaited) {
            return response.watchDisconnectAfterWait(onDisconnect);
        }
        response.watchDisconnect(onDisconnect);
        return true;
    }

    /**
     * Carries out what the state has decided.
     *
     * @param retryAfter value of Retry-After if the action is a rejection
     */
    void perform(ExchangeAction action, String retryAfter) {
        switch (action) {
            case RETRY, RESUME -> attempts.next();
            case RESPOND_UNAVAILABLE -> respond(503, retryAfter, ConnectionAfter.REUSABLE);
            case RESPOND_BAD_GATEWAY -> respond(502, null, ConnectionAfter.REUSABLE);
            case RESPOND_GATEWAY_TIMEOUT -> respond(504, null, ConnectionAfter.REUSABLE);
            case ABORT -> abort(new IOException("no complete response"));
        }
    }

    /** A complete response was received; {@code lastBytes} of its body have not been forwarded yet. */
    void finish(ByteBuffer lastBytes) {
        if (endOnce()) {
            response.finish(lastBytes);
        }
    }

    private void respond(int status, String retryAfter, ConnectionAfter connection) {
        if (endOnce()) {
            response.respond(status, retryAfter, connection);
        }
    }

    /** Closes the client's connection, so that nothing on it looks complete. */
    private void abort(Throwable cause) {
        endOnce();
        response.abort(cause);
    }

    private void onDeadline() {
        if (hasEnded()) {
            return;
        }
        attempts.cancelCurrent(AttemptOutcome.TIMED_OUT);
        perform(state.atDeadline(), RETRY_SOON);
    }

    /** The client's connection is closed. */
    void onClientDisconnected() {
        if (hasEnded()) {
            return;
        }
        if (attempts != null) {
            attempts.cancelCurrent(AttemptOutcome.CANCELLED);
        }
        abort(new IOException("client disconnected"));
    }

    /** An event failed by a fault of the router itself: nothing is known, so nothing is promised. */
    private void onInternalError(Throwable failure) {
        context.failures().record("INTERNAL_ERROR", "exchange", failure);
        if (attempts != null) {
            attempts.discardCurrent();
        }
        abort(failure);
    }

    private boolean endOnce() {
        if (hasEnded()) {
            return false;
        }
        on(ExchangeState.Event.ENDED);
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        if (body != null) {
            context.bodies().release(body.remaining());
        }
        return true;
    }
}
