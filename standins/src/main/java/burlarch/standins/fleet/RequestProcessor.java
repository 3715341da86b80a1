package burlarch.standins.fleet;

import burlarch.audit.Attempt;
import burlarch.audit.Attempt.Fate;
import burlarch.audit.Digest;
import burlarch.standins.model.Job;
import burlarch.standins.model.ObjectCache;
import burlarch.standins.model.SeededRandom;
import burlarch.standins.model.ServiceModel;
import burlarch.standins.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Processes the requests of one node: it times them with a {@link ServiceModel}, answers them and records the outcome
 * of each. Confined to the node's event loop, except {@link #invalidate} and {@link #preload}, which any thread may
 * call.
 */
final class RequestProcessor {
    /** Work of a miss as a fraction of a hit's: a miss is only a lookup. */
    private static final double MISS_WORK = 0.1;
    /** Shorter delays are skipped: a timer would cost more. */
    private static final long SHORTEST_TIMER_NANOS = 1000;

    private static final int RESET_DRAW_SALT = 7;

    private final FleetPlan.NodePlan plan;
    private final FleetContext context;
    private final NodeCondition condition;
    private final EventLoop loop;
    private final LedgerWrites writes;
    private ServiceModel model;
    private ObjectCache cache;
    private double slowdown = 1;
    private long timerAtNanos = Long.MAX_VALUE;
    private long served;

    RequestProcessor(FleetPlan.NodePlan plan, FleetContext context, NodeCondition condition, EventLoop loop) {
        this.plan = plan;
        this.context = context;
        this.condition = condition;
        this.loop = loop;
        this.writes = new LedgerWrites(context);
        this.model = new ServiceModel(plan.kind(), System.nanoTime(), false);
        this.cache = new ObjectCache(plan.kind().memoryBytes());
    }

    // ---- arrival

    /** Returns a request class by name, or null. */
    FleetPlan.RequestClass requestClass(String name) {
        return context.classes().get(name);
    }

    /** Returns the work of a request at this node; a cache spends less on a miss. */
    long costNanos(FleetPlan.RequestClass requestClass, String id, String key, boolean write) {
        long fullWorkNanos = workNanos(requestClass, id);
        return plan.ledger() || !write && cache.get(key) != null ? fullWorkNanos : (long) (fullWorkNanos * MISS_WORK);
    }

    /** Draws the work of a request from its class and id; every attempt of a request gets the same. */
    private long workNanos(FleetPlan.RequestClass requestClass, String id) {
        double draw = SeededRandom.logNormal(SeededRandom.hash(context.plan().seed(), id), requestClass.cv());
        return (long) ((plan.ledger() ? requestClass.ledgerWorkNanos() : requestClass.workNanos()) * draw);
    }

    /** Takes a complete request, which reaches the service model after the network delay. */
    void receive(NodeRequest request, long delayNanos) {
        if (!condition.isUp()) {
            // A hung, paused or unreachable node reads requests and does not answer.
            return;
        }
        if (isToBeReset(request)) {
            reset(request);
            return;
        }
        runAfter(delayNanos, () -> admit(request));
    }

    private boolean isToBeReset(NodeRequest request) {
        return condition.resetShare > 0 && draw(RESET_DRAW_SALT, request) < condition.resetShare;
    }

    private double draw(int salt, NodeRequest request) {
        return SeededRandom.unit(SeededRandom.hash(context.plan().seed() + salt, request.id));
    }

    private void reset(NodeRequest request) {
        end(request, Fate.RESET);
        Transport.reset(request.channel);
    }

    private void runAfter(long delayNanos, Runnable task) {
        if (delayNanos < SHORTEST_TIMER_NANOS) {
            task.run();
        } else {
            loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void admit(NodeRequest request) {
        if (request.ended || !condition.isUp()) {
            return;
        }
        if (condition.draining) {
            respond(request, HttpResponses.rejected(), Fate.TURNED_AWAY, 0);
            return;
        }
        advance();
        request.cachedValue = plan.ledger() || request.write ? null : cache.get(request.key);
        ServiceModel.Admission admission = model.offer(System.nanoTime(), request);
        if (admission == ServiceModel.Admission.FULL) {
            respond(request, HttpResponses.rejected(), Fate.TURNED_AWAY, 0);
        } else if (admission == ServiceModel.Admission.FAILED) {
            reset(request);
        }
        schedule();
    }

    /** Adds the work of a new connection's handshake to the node. */
    void handshake() {
        if (plan.kind().handshakeNanos() > 0) {
            advance();
            model.addBackgroundWork(System.nanoTime(), plan.kind().handshakeNanos());
            schedule();
        }
    }

    // ---- progress

    /** Advances the service model to now and answers completed requests. */
    void advance() {
        completeJobs(model.advance(System.nanoTime()));
    }

    private void completeJobs(List<Job> completed) {
        for (Job job : completed) {
            if (job instanceof NodeRequest request) {
                complete(request);
            }
        }
    }

    /** Sets a timer for the next completion. */
    void schedule() {
        long nextNanos = model.nextNanos();
        if (nextNanos < timerAtNanos) {
            timerAtNanos = nextNanos;
            loop.schedule(() -> onTimer(nextNanos), nextNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
    }

    private void onTimer(long plannedNanos) {
        if (plannedNanos == timerAtNanos) {
            timerAtNanos = Long.MAX_VALUE;
        }
        if (condition.isUp()) {
            advance();
            schedule();
        }
    }

    /** Slows the node down by a factor from now on. */
    void slow(double factor) {
        completeJobs(model.slow(System.nanoTime(), factor));
        slowdown = factor;
        timerAtNanos = Long.MAX_VALUE;
        schedule();
    }

    /** Ends the effect of {@link #slow}. */
    void restoreSpeed() {
        if (slowdown != 1) {
            slow(1);
        }
    }

    /** Restarts the node's model, cold and with an empty cache. */
    void restart() {
        model = new ServiceModel(plan.kind(), System.nanoTime(), true);
        cache = new ObjectCache(plan.kind().memoryBytes());
        slowdown = 1;
        timerAtNanos = Long.MAX_VALUE;
    }

    // ---- completion

    private void complete(NodeRequest request) {
        if (request.ended || !condition.isUp()) {
            return;
        }
        served++;
        if (plan.kind().errorShare() > 0
                && draw(plan.id().hashCode(), request) < plan.kind().errorShare()) {
            respond(request, HttpResponses.error(), Fate.ERROR, 0);
        } else if (plan.ledger()) {
            completeAtLedger(request);
        } else if (request.cachedValue != null) {
            respond(request, HttpResponses.ok(request.cachedValue, "hit"), Fate.SERVED, Digest.of(request.cachedValue));
        } else {
            context.misses().add(request.id, this);
            respond(request, HttpResponses.miss(false), Fate.MISS, 0);
        }
    }

    /** Executes a request at the ledger and answers it. */
    private void completeAtLedger(NodeRequest request) {
        byte[] body = request.write ? writes.write(request, System.nanoTime()) : read(request);
        if (body == null) {
            respond(request, HttpResponses.error(), Fate.ERROR, 0);
        } else {
            respond(request, HttpResponses.ok(body, null), Fate.SERVED, Digest.of(body));
        }
    }

    /** Reads a value at the ledger and stores it at the caches that missed for the request. */
    private byte[] read(NodeRequest request) {
        byte[] body = context.ledgerValues().read(request.key);
        for (RequestProcessor cache : context.misses().take(request.id)) {
            cache.loop.execute(() -> cache.store(request.key, body));
        }
        return body;
    }

    private void store(String key, byte[] value) {
        if (condition.isUp() && !condition.draining) {
            cache.put(key, value);
        }
    }

    /** Removes a key whose value a write has changed. May be called from any thread. */
    void invalidate(String key) {
        loop.execute(() -> cache.remove(key));
    }

    /** Stores the ledger's values of keys in the cache. May be called from any thread. */
    void preload(List<String> keys) {
        loop.execute(
                () -> keys.forEach(key -> cache.put(key, context.ledgerValues().read(key))));
    }

    /** Sends a response after the network delay and records the outcome. */
    private void respond(NodeRequest request, ByteBuf response, Fate fate, long digest) {
        request.ended = true;
        runAfter(delayNanos(request.proxyPlan), () -> request.channel
                .writeAndFlush(response)
                .addListener(f -> record(request, f.isSuccess() ? fate : Fate.GIVEN_UP, digest)));
    }

    /** One-way network delay between a proxy and this node. */
    long delayNanos(FleetPlan.ProxyPlan proxyPlan) {
        return proxyPlan.zone().equals(plan.zone())
                ? context.plan().network().sameZoneNanos()
                : context.plan().network().crossZoneNanos();
    }

    /** Ends a request whose proxy closed the connection. */
    void abandon(NodeRequest request) {
        end(request, Fate.GIVEN_UP);
        schedule();
    }

    /** Ends a request without a response. */
    void end(NodeRequest request, Fate fate) {
        if (!request.ended) {
            request.ended = true;
            model.remove(request);
            record(request, fate, 0);
        }
    }

    private void record(NodeRequest request, Fate fate, long digest) {
        NodeConnection.release(request);
        context.sink()
                .write(new Attempt(
                        request.id,
                        plan.id(),
                        request.proxyPlan.name(),
                        request.firstByteNanos,
                        request.lastByteNanos,
                        System.nanoTime(),
                        fate,
                        request.workNanos(),
                        digest));
    }

    // ---- statistics

    int running() {
        return model.running();
    }

    int waiting() {
        return model.waiting();
    }

    int overloadFailures() {
        return model.overloadFailures();
    }

    int objects() {
        return cache.count();
    }

    long served() {
        return served;
    }
}
