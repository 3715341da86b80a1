package burlarch.proxy;

import burlarch.decisions.Api;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Policy;
import burlarch.wire.Instance;
import burlarch.wire.Json;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Table of open requests with their attempts and deadlines, and the host of the decision module: it passes
 * events to the module and carries out the module's actions. Every request gets exactly one final response:
 * the one that the module decides on, or 504 from this table once its deadline has passed. All methods run
 * on the event loop.
 */
public final class RequestTable implements Api.Actions {
    /** Receives the final response to a request: exactly one of its methods is called, once per request. */
    public interface ResponseHandler {
        /** A node has answered with 200; {@code contentType} is null if its response named none. */
        void served(byte[] body, String contentType);

        /**
         * The request has been rejected, and a retry is harmless.
         *
         * @param retryAfterNanos advice for the client's retry; 0 for no advice
         * @param unanswered whether the cause is a node that did not respond in time
         */
        void refused(long retryAfterNanos, boolean unanswered);

        /** The request has failed and may have had an effect. {@code status} is the HTTP status to send. */
        void failed(int status);
    }

    /**
     * A client's request as it was read. Request class and tenant are given by the decision module's numbers;
     * the tenant and the key, whose sets are unbounded, also by name.
     *
     * @param requestClass number of the request class
     * @param tenant number of the tenant, or {@link Api#UNKNOWN}
     * @param keyed whether the request has a key
     * @param key digest of the key; 0 if there is none
     * @param deadlineNanos when the final response is due, on the proxy's clock
     * @param workNanos the client's cost hint; 0 if none came
     * @param tenantName name of the tenant; empty if none was given
     * @param keyText the key; empty if there is none
     * @param upstream the part that is forwarded to a node
     * @param timeoutMs how long the client waits, by its own statement
     */
    public record ClientRequest(
            int requestClass,
            int tenant,
            boolean keyed,
            long key,
            long deadlineNanos,
            long workNanos,
            String tenantName,
            String keyText,
            UpstreamRequest upstream,
            int timeoutMs) {}

    /** Listener for the table's events. Called on the event loop; must not change the table. */
    public interface Observer {
        /** A request has entered the table. */
        default void requestAccepted(ClientRequest clientRequest) {}

        /** A request has had its final response, or its client has disconnected. */
        default void requestFinished(int requestClass) {}

        /** An attempt at a node has ended. */
        default void attemptEnded(long server, Outcome outcome) {}
    }

    /** A request from its arrival until it has its final response and all its attempts have ended. */
    private static final class OpenRequest {
        final long id;
        final int requestClass;
        final UpstreamRequest upstream;
        final long deadlineNanos;
        final ResponseHandler responseHandler;
        /** The attempts by number; null for one that was never sent. */
        final List<Attempt> attempts = new ArrayList<>(2);

        int attemptsInFlight;
        /** Whether the request has had its final response, or its client has disconnected. */
        boolean finished;
        /** Whether the attempt that ended last did so without a response, by time-out or cancellation. */
        boolean unanswered;

        ScheduledFuture<?> deadlineTimer;

        OpenRequest(long id, ClientRequest clientRequest, ResponseHandler responseHandler) {
            this.id = id;
            this.requestClass = clientRequest.requestClass();
            this.upstream = clientRequest.upstream();
            this.deadlineNanos = clientRequest.deadlineNanos();
            this.responseHandler = responseHandler;
        }
    }

    /** One attempt of a request at a node. */
    private final class Attempt extends NodePool.Call {
        final OpenRequest openRequest;
        final int number;
        final long server;
        final long sentNanos;

        Attempt(OpenRequest openRequest, int number, long server, long sentNanos, long giveUpAtNanos) {
            super(openRequest.upstream, giveUpAtNanos);
            this.openRequest = openRequest;
            this.number = number;
            this.server = server;
            this.sentNanos = sentNanos;
        }

        @Override
        void ended(Outcome outcome, byte[] body, String contentType) {
            attemptEnded(this, outcome, body, contentType);
        }
    }

    private final EventLoop loop;
    private final ProxyClock clock;
    private final NodePool nodePool;
    private final Instance instance;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final OpenRequestIds openClientIds = new OpenRequestIds();
    /** Events that occurred while the module was handling another one: the module is not reentrant. */
    private final ArrayDeque<LongConsumer> pendingEvents = new ArrayDeque<>();

    /** Whether the module is running; true at first, as it may act while it is constructed. */
    private boolean moduleRunning = true;

    private Runnable memberWatchStarter = () -> {};
    private final List<Observer> observers = new ArrayList<>(0);
    /** Memory held by the bodies of open requests: a hung node keeps many requests open. */
    private final BodyBudget requestBodies = BodyBudget.boundingExcessOnly();

    private long lastId;
    private int unfinishedCount;

    RequestTable(EventLoop loop, ProxyClock clock, NodePool nodePool, Json settings, long seed) {
        this.loop = loop;
        this.clock = clock;
        this.nodePool = nodePool;
        this.instance = new Instance(settings, seed, this);
        this.moduleRunning = false;
    }

    Instance instance() {
        return instance;
    }

    /** @param starter runs when the module asks to watch the member list */
    void onWatchList(Runnable starter) {
        memberWatchStarter = starter;
    }

    void observe(Observer observer) {
        observers.add(observer);
    }

    /** The budget of response bodies. */
    BodyBudget answers() {
        return nodePool.answers();
    }

    /** Whether the body of one more request fits the budget; bodies of ordinary length always do. */
    boolean hasRoomFor(ClientRequest clientRequest) {
        return requestBodies.hasRoomFor(clientRequest.upstream().body().length);
    }

    /** The number of requests without a final response. */
    int openRequestCount() {
        return unfinishedCount;
    }

    /** Whether a request with this client-chosen id is open, or ended within the last few seconds. */
    public boolean isOpen(String clientId) {
        return openClientIds.contains(clientId, clock.nowNanos());
    }

    // ---- events for the module

    /** Passes an event to the module at the current time, after the pending ones. */
    void notifyModule(LongConsumer event) {
        pendingEvents.add(event);
        if (moduleRunning) {
            return;
        }
        moduleRunning = true;
        try {
            for (LongConsumer next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                try {
                    next.accept(clock.nowNanos());
                } catch (RuntimeException e) {
                    // An exception for one request must not affect the others; that request fails at its deadline.
                    Log.line("decision module failed: " + e);
                }
            }
        } finally {
            moduleRunning = false;
        }
    }

    private Policy policy() {
        return instance.policy;
    }

    /**
     * Enters a request into the table and passes it to the module.
     *
     * @return the request's number, for {@link #clientDisconnected}
     */
    public long take(ClientRequest clientRequest, ResponseHandler responseHandler) {
        long id = ++lastId;
        OpenRequest openRequest = new OpenRequest(id, clientRequest, responseHandler);
        openRequests.put(id, openRequest);
        requestBodies.take(openRequest.upstream.body().length);
        openClientIds.add(clientRequest.upstream().requestId());
        unfinishedCount++;
        observers.forEach(observer -> observer.requestAccepted(clientRequest));
        openRequest.deadlineTimer = loop.schedule(
                () -> expire(openRequest), clientRequest.deadlineNanos() - clock.nowNanos(), TimeUnit.NANOSECONDS);
        boolean write = !clientRequest.upstream().method().name().equals("GET");
        Request request = new Request(
                id,
                clientRequest.requestClass(),
                clientRequest.tenant(),
                clientRequest.keyed(),
                clientRequest.key(),
                clientRequest.deadlineNanos(),
                clientRequest.workNanos(),
                write);
        notifyModule(nowNanos -> {
            try {
                policy().onRequest(nowNanos, request);
            } catch (RuntimeException e) {
                // Not a refusal: that would promise the client that nothing has run.
                Log.line("decision module failed on a request: " + e);
                finish(openRequest, () -> responseHandler.failed(500));
            }
        });
        return id;
    }

    /** The client has disconnected: the request ends without a response. */
    public void clientDisconnected(long id) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest != null && !openRequest.finished) {
            finish(openRequest, () -> {});
            notifyModule(nowNanos -> policy().onClientGone(nowNanos, id));
        }
    }

    /** Ends a request with 504 if the module has not ended it by its deadline. */
    private void expire(OpenRequest openRequest) {
        if (!openRequest.finished) {
            finish(openRequest, () -> openRequest.responseHandler.failed(504));
            notifyModule(nowNanos -> policy().onClientGone(nowNanos, openRequest.id));
        }
    }

    /** Ends a request. Every final response passes through here; calls after the first have no effect. */
    private void finish(OpenRequest openRequest, Runnable respond) {
        if (openRequest.finished) {
            return;
        }
        openRequest.finished = true;
        openRequest.deadlineTimer.cancel(false);
        removeIfDone(openRequest);
        unfinishedCount--;
        observers.forEach(observer -> observer.requestFinished(openRequest.requestClass));
        respond.run();
        // Attempts that still wait for a connection must not be sent now: nobody waits for their responses.
        for (int i = 0; openRequest.attemptsInFlight > 0 && i < openRequest.attempts.size(); i++) {
            if (openRequest.attempts.get(i) != null) {
                nodePool.withdraw(openRequest.attempts.get(i));
            }
        }
    }

    private void removeIfDone(OpenRequest openRequest) {
        if (openRequest.finished && openRequest.attemptsInFlight == 0 && openRequests.remove(openRequest.id) != null) {
            requestBodies.release(openRequest.upstream.body().length);
            openClientIds.closed(openRequest.upstream.requestId(), clock.nowNanos());
        }
    }

    private void attemptEnded(Attempt attempt, Outcome outcome, byte[] body, String contentType) {
        OpenRequest openRequest = attempt.openRequest;
        openRequest.attemptsInFlight--;
        openRequest.unanswered = outcome == Outcome.LATE || outcome == Outcome.CXL;
        observers.forEach(observer -> observer.attemptEnded(attempt.server, outcome));
        if (outcome == Outcome.GOOD) {
            finish(openRequest, () -> openRequest.responseHandler.served(body, contentType));
        }
        removeIfDone(openRequest);
        notifyAttemptEnded(
                openRequest.id, attempt.number, attempt.server, outcome, openRequest.finished, attempt.sentNanos);
    }

    private void notifyAttemptEnded(
            long id, int number, long server, Outcome outcome, boolean finished, long sentNanos) {
        notifyModule(nowNanos ->
                policy().onEnded(nowNanos, new Ended(id, number, server, outcome, finished, nowNanos - sentNanos)));
    }

    // ---- actions of the module

    @Override
    public void send(long request, long server, long abandonAtNanos) {
        long nowNanos = clock.nowNanos();
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest == null) {
            notifyAttemptEnded(request, 0, server, Outcome.NOP, true, nowNanos);
            return;
        }
        long giveUpAtNanos =
                abandonAtNanos <= 0 ? openRequest.deadlineNanos : Math.min(abandonAtNanos, openRequest.deadlineNanos);
        int number = openRequest.attempts.size();
        if (openRequest.finished
                || nowNanos >= giveUpAtNanos
                || number >= instance.settings.limits().attemptCap()) {
            openRequest.attempts.add(null);
            notifyAttemptEnded(request, number, server, Outcome.NOP, openRequest.finished, nowNanos);
            return;
        }
        Attempt attempt = new Attempt(openRequest, number, server, nowNanos, giveUpAtNanos);
        openRequest.attempts.add(attempt);
        openRequest.attemptsInFlight++;
        nodePool.send(attempt, server);
    }

    @Override
    public void cancel(long request, int attempt) {
        OpenRequest openRequest = openRequests.get(request);
        Attempt target = openRequest == null || attempt < 0 || attempt >= openRequest.attempts.size()
                ? null
                : openRequest.attempts.get(attempt);
        if (target != null) {
            nodePool.cancel(target);
        }
    }

    @Override
    public void refuse(long request, long retryAfterNanos) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest != null) {
            boolean unanswered = openRequest.attemptsInFlight > 0 || openRequest.unanswered;
            finish(openRequest, () -> openRequest.responseHandler.refused(retryAfterNanos, unanswered));
        }
    }

    @Override
    public void fail(long request) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest != null) {
            finish(openRequest, () -> openRequest.responseHandler.failed(502));
        }
    }

    @Override
    public void timer(long spanNanos, long token) {
        loop.schedule(
                () -> notifyModule(nowNanos -> policy().onTimer(nowNanos, token)), spanNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdleConnections(long server) {
        nodePool.closeIdleConnections(server);
    }

    @Override
    public void trim(long server, long idleNanos) {
        nodePool.trim(server, idleNanos);
    }

    @Override
    public void watchList() {
        memberWatchStarter.run();
    }

    @Override
    public void log(String text) {
        Log.line("module: " + text);
    }
}
