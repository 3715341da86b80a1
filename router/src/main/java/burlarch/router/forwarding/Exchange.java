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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.SerializedInvoker;

/**
 * One client request and its response. The exchange receives and checks the request, delegates the attempts to
 * its {@link AttemptSequence}, and ends the response. Its {@link ExchangeState} decides what follows an attempt;
 * the exchange carries out the decision.
 *
 * <p>Threads: the events of an exchange are serialized by its invoker and run on the thread that delivers them;
 * {@link #start} runs before the first event. All state is owned by the exchange.
 */
public final class Exchange implements RequestBodyReader.Listener {
    /** Value of Retry-After, in seconds, if this router cannot accept a request at the moment. */
    static final String RETRY_AFTER_REJECTION = "0.2";
    /** Value of Retry-After, in seconds, if another router can accept the request at once. */
    private static final String RETRY_AFTER_AT_OTHER_ROUTER = "0.02";

    /** A request that waits for the first configuration ends this much earlier than its client's timeout. */
    private static final long CLIENT_TIMEOUT_MARGIN_MILLIS = 50;

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
    /** Whether the startup gate was closed when the request arrived, so that it may have waited. */
    private boolean mayHaveWaitedAtGate;
    /** Null until the body is being received. */
    private RequestBodyReader bodyReader;
    /** Null until the request is accepted. */
    private AttemptSequence attempts;
    /** Null until the request is accepted. */
    private Scheduler.Task deadlineTimer;
    /** Null unless the body does not arrive at once. */
    private Scheduler.Task bodyTimer;

    /** Creates an exchange that has not started. */
    public Exchange(ForwardingContext context, Request request, ClientResponse response) {
        this.context = context;
        this.request = request;
        this.response = response;
    }

    /** Runs an event of this exchange after all earlier events have run. */
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

    /** Starts to receive the request as soon as the startup gate lets it pass; rejects an unsupported one. */
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
        mayHaveWaitedAtGate = !context.startupGate().isOpen();
        context.startupGate().pass(() -> serialize(this::readBody), clientTimeoutMillis());
    }

    /** How long the client says it waits, minus a margin for the response; very long if it does not say. */
    private long clientTimeoutMillis() {
        long millis = Headers.parseNumber(request.getHeaders().get(Headers.DEADLINE), Long.MAX_VALUE);
        return millis - CLIENT_TIMEOUT_MARGIN_MILLIS;
    }

    private void readBody() {
        if (hasEnded()) {
            return;
        }
        RouteTable table = context.routeTable();
        if (table == null) {
            respond(503, RETRY_AFTER_REJECTION, ConnectionAfter.REUSABLE);
            return;
        }
        Limits limits = table.configuration().limits();
        int maxBytes = limits == null ? Integer.MAX_VALUE : limits.maxBodyBytes();
        if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maxBytes) {
            onTooLarge();
            return;
        }
        bodyReader = new RequestBodyReader(request, maxBytes, context.bodyBudget(), this);
        bodyReader.run();
        if (!bodyReader.hasEnded()) {
            bodyTimer = atDeadline(() -> serialize(() -> respond(408, null, ConnectionAfter.CLOSED)));
        }
    }

    /**
     * Schedules a task for the time at which the response is due. A body must arrive until then, however slowly and
     * steadily the client sends it.
     */
    private Scheduler.Task atDeadline(Runnable task) {
        long deadlineNanos = RequestReader.deadlineNanos(
                context.routeTable(), request.getHttpURI(), request.getHeaders(), request.getHeadersNanoTime());
        long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
        return context.scheduler().schedule(task, remainingNanos, TimeUnit.NANOSECONDS);
    }

    /** The rest of the body is read and dropped, so that the client is not cut off while it sends. */
    @Override
    public void onNoRoom(CompletableFuture<Void> restDropped) {
        serialize(() -> {
            if (endOnce()) {
                response.respondDuringRequest(503, RETRY_AFTER_REJECTION, restDropped);
                limitDropTime(restDropped);
            }
        });
    }

    private void limitDropTime(CompletableFuture<Void> restDropped) {
        Scheduler.Task timer = atDeadline(() -> restDropped.completeExceptionally(
                new TimeoutException("body of a rejected request not complete in time")));
        restDropped.whenComplete((done, failure) -> timer.cancel());
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
    public void onBody(ByteBuffer completeBody) {
        serialize(() -> onRequestComplete(completeBody));
    }

    private void onRequestComplete(ByteBuffer completeBody) {
        if (hasEnded()) {
            return;
        }
        if (bodyTimer != null) {
            bodyTimer.cancel();
        }
        if (!response.isConnected()) {
            onClientDisconnected();
            return;
        }
        RouteTable table = context.routeTable();
        RequestReader.Result result =
                RequestReader.read(table, request.getHttpURI(), request.getHeaders(), request.getHeadersNanoTime());
        if (result instanceof RequestReader.Rejected rejected) {
            respond(rejected.status(), null, ConnectionAfter.REUSABLE);
            return;
        }
        RouteRequest routedRequest = ((RequestReader.Accepted) result).request();
        if (requiresKey(table, routedRequest)
                && !context.credentialValidity().mayAccept(routedRequest.receivedNanos())) {
            respond(503, RETRY_AFTER_REJECTION, ConnectionAfter.REUSABLE);
            return;
        }
        forward(routedRequest, completeBody);
    }

    private static boolean requiresKey(RouteTable table, RouteRequest routedRequest) {
        return table.requiresKey() && !routedRequest.route().isPublic();
    }

    private void forward(RouteRequest routedRequest, ByteBuffer body) {
        on(ExchangeState.Event.REQUEST_RECEIVED);
        if (!context.drain().accepts(routedRequest.deadlineNanos())) {
            respond(503, RETRY_AFTER_AT_OTHER_ROUTER, ConnectionAfter.CLOSED);
            return;
        }
        attempts = new AttemptSequence(this, context, routedRequest, request, body);
        if (!watchClientConnection()) {
            onClientDisconnected();
            return;
        }
        long remainingNanos = attempts.remainingNanos();
        if (remainingNanos <= 0) {
            respond(503, RETRY_AFTER_REJECTION, ConnectionAfter.REUSABLE);
            return;
        }
        deadlineTimer =
                context.scheduler().schedule(() -> serialize(this::onDeadline), remainingNanos, TimeUnit.NANOSECONDS);
        attempts.startNext();
    }

    /** Starts to watch the client's connection. Returns false if the client has already disconnected. */
    private boolean watchClientConnection() {
        Runnable onDisconnect = () -> serialize(this::onClientDisconnected);
        if (mayHaveWaitedAtGate) {
            return response.watchDisconnectAfterWait(onDisconnect);
        }
        response.watchDisconnect(onDisconnect);
        return true;
    }

    /**
     * Carries out an action that the state has decided on.
     *
     * @param retryAfter value of Retry-After, used only if the action is a rejection
     */
    void perform(ExchangeAction action, String retryAfter) {
        switch (action) {
            case RETRY, RESUME -> attempts.startNext();
            case RESPOND_UNAVAILABLE -> respond(503, retryAfter, ConnectionAfter.REUSABLE);
            case RESPOND_BAD_GATEWAY -> respond(502, null, ConnectionAfter.REUSABLE);
            case RESPOND_GATEWAY_TIMEOUT -> respond(504, null, ConnectionAfter.REUSABLE);
            case ABORT -> abort(new IOException("no complete response"));
        }
    }

    /** Ends the response as complete; {@code lastBytes} of its body have not been forwarded yet. */
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

    /** Closes the client's connection, so that the response does not look complete. */
    private void abort(Throwable cause) {
        endOnce();
        response.abort(cause);
    }

    private void onDeadline() {
        if (hasEnded()) {
            return;
        }
        attempts.cancelCurrent(AttemptOutcome.TIMED_OUT);
        perform(state.atDeadline(), RETRY_AFTER_REJECTION);
    }

    /** Called when the client has closed its connection. */
    void onClientDisconnected() {
        if (hasEnded()) {
            return;
        }
        if (attempts != null) {
            attempts.cancelCurrent(AttemptOutcome.CANCELLED);
        }
        abort(new IOException("client disconnected"));
    }

    /** An event failed by a fault in the router. Whether the request was executed is unknown, so no status is sent. */
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
        if (bodyTimer != null) {
            bodyTimer.cancel();
        }
        if (bodyReader != null) {
            bodyReader.release();
        }
        return true;
    }
}
