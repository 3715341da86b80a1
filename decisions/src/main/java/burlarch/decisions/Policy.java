package burlarch.decisions;

import burlarch.admission.LearnedCapacity;
import burlarch.decisions.Api.Actions;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Repeat;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Scope;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Tenant;
import burlarch.decisions.CachePool.Node;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides for one proxy where each request is sent and when it is refused. {@link Api} is its interface.
 *
 * <p>A read goes to the best cache for its key by rendezvous hashing; on a miss, the fetch is offered to the
 * origin's throttle (γ_g, {@link burlarch.admission.CallGapping}) and sent or refused at once. Writes go to the
 * origin through the same throttle. Every attempt passes {@link #send} and every refusal or failure passes
 * {@link #refuseOrFail}. Each request gets exactly one final answer. Not thread-safe.
 */
public final class Policy {
    /** Timer token of the subscription to the server list. A request's token is its id, never negative. */
    private static final long WATCH_TIMER_TOKEN = -1;
    /** Windows W in offers, for the highest worth and for none: small shares still admit two offers at once. */
    private static final double WINDOW_MAX_WORTH = 18;

    private static final double WINDOW_NO_WORTH = 22;
    /** Factors of a rendezvous weight: per capacity cut, minimum, per other outcome. Listed sizes are rough. */
    private static final double WEIGHT_CUT = 0.85;

    private static final double MIN_WEIGHT = 0.2;
    private static final double WEIGHT_GROWTH = 1.002;
    /**
     * Outcomes in a batch for {@link LearnedCapacity}. Many for all caches together, as answer times vary too much
     * for a dozen; down to a fifth with many proxies, whose errors average out. Few for one server, as one proxy
     * may send it few requests.
     */
    private static final double TIER_BATCH = 48;

    private static final double NODE_BATCH = 8;
    /** From this number of proxies, each sees few outcomes. With fewer, the tier's c follows offers until a cut. */
    private static final int MANY_PROXIES = 10;
    /** The tier's c starts at this multiple of the quota of all tenants and grows on good answers. */
    private static final double QUOTA_MULTIPLE = 1.6;
    /** Most caches tried for one request: where most caches are cold it goes to the origin, under its throttle. */
    private static final int MAX_CACHES = 8;
    /** Part of the target latency after which an unanswered attempt counts against its cache. */
    private static final double SILENCE_PER_TARGET = 0.4;
    /** Retries and second copies that each request adds to the budget; most that all proxies together save. */
    private static final double RETRIES_PER_REQUEST = 0.2;

    private static final double MAX_SAVED_RETRIES = 60;

    /** Weight of a new answer in the moving averages of answer times. */
    private static final double ANSWER_TIME_GAIN = 0.05;
    /** Assumed time of an origin's answer before the first one, as a part of the target latency. */
    private static final double DEFAULT_ORIGIN_ANSWER_PER_TARGET = 0.1;

    private static final long MIN_BACKOFF_NANOS = 500_000_000L;
    private static final long MAX_BACKOFF_NANOS = 8_000_000_000L;

    /** An attempt of a request; {@code outcome} is null while it is in flight. */
    private record Attempt(Node node, long sentNanos, boolean connects, Outcome outcome) {
        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** A request and its attempts, from its arrival until its final answer and the end of its last attempt. */
    private static final class Pending {
        final Request request;
        final RequestClass requestClass;
        final long usefulUntilNanos;
        /** Whether the client's timeout is shorter than the silence timeout of a cache. */
        final boolean shortTimeout;

        /** Work of the request, relative to the mean of all requests. */
        final double cost;

        final List<Attempt> attempts = new ArrayList<>(2);
        final List<Node> triedCaches = new ArrayList<>(2);
        int inFlight;
        boolean answered;
        boolean ownsFetch;
        boolean awaitsFetch;
        boolean withinShare;
        /** When a request that the origin refused is offered to it again; 0 while no such retry is due. */
        long resumeAtNanos;

        Pending(Request request, RequestClass requestClass, long usefulUntilNanos, boolean shortTimeout, double cost) {
            this.request = request;
            this.requestClass = requestClass;
            this.usefulUntilNanos = usefulUntilNanos;
            this.shortTimeout = shortTimeout;
            this.cost = cost;
        }

        /** Returns how the request may be repeated. An unknown class is treated as unsafe. */
        Repeat repeat() {
            return requestClass == null ? Repeat.SIDE_EFFECT : requestClass.repeat();
        }

        long key() {
            return request.keyed() ? request.key() : CachePool.mixBits(request.id());
        }

        Attempt last() {
            return attempts.get(attempts.size() - 1);
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final CachePool pool;
    /** Capacity of all caches together, whose outcomes show a general overload long before those of one cache. */
    private final LearnedCapacity tier;

    private final long minTargetNanos;
    private final double maxWorth;
    private final Map<Long, Pending> pendingRequests = new HashMap<>();
    /** Requests that have had their final answer and still have attempts in flight. */
    private final Map<Long, Pending> answeredInFlight = new HashMap<>();
    /** Keys that this proxy is fetching from the origin, each with the requests that wait for the fetch. */
    private final Map<Long, ArrayDeque<Pending>> fetchWaiters = new HashMap<>();

    private final double maxRetryBudget;
    private double retryBudget;
    private double meanWorkNanos;
    /** Mean answer times of caches, on new connections and on reused ones. */
    private final double[] newConnectionNanos = {0};

    private final double[] keptConnectionNanos = {0};
    /** Mean answer time of origins. */
    private double originNanos;

    private long backoffNanos = MIN_BACKOFF_NANOS;

    /** @param seed of the random choices: equal events with an equal seed cause equal actions */
    public Policy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        double[] shares = settings.tenants().stream().mapToDouble(Tenant::share).toArray();
        double quota =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        this.minTargetNanos = settings.classes().stream()
                .mapToLong(RequestClass::targetNanos)
                .min()
                .orElse(1_000_000_000L);
        this.maxWorth = settings.classes().stream()
                .mapToDouble(RequestClass::worth)
                .max()
                .orElse(0);
        // Totals are divided by the number of proxies; errors from the few outcomes that each sees average out.
        double start = Math.max(60, 0.5 * quota) / settings.proxies();
        this.maxRetryBudget = Math.max(1, MAX_SAVED_RETRIES / settings.proxies());
        this.retryBudget = maxRetryBudget * random.nextDouble();
        double pooling = Math.max(1, Math.min(5, settings.proxies() / (double) MANY_PROXIES));
        double floor = Math.min(LearnedCapacity.FLOOR_PER_SECOND, 20.0 / settings.proxies());
        this.tier = new LearnedCapacity(
                shares,
                Math.max(start, QUOTA_MULTIPLE * quota / settings.proxies()),
                floor,
                TIER_BATCH / pooling,
                pooling);
        this.pool = new CachePool(
                settings,
                actions,
                random,
                (long) (SILENCE_PER_TARGET * minTargetNanos),
                () -> new LearnedCapacity(shares, start, floor, NODE_BATCH, 1));
        if (settings.asksForList()) {
            actions.timer(random.nextLong(1, MIN_BACKOFF_NANOS / 2), WATCH_TIMER_TOKEN);
        }
    }

    /** Handles a server list event. A restored list may be stale: attempts at removed servers fail to connect. */
    public void onList(long nowNanos, ListKind kind, List<Server> entries) {
        if (kind != ListKind.UNAVAILABLE) {
            pool.update(entries, kind != ListKind.UPDATE, nowNanos);
            backoffNanos = MIN_BACKOFF_NANOS;
        } else if (settings.asksForList()) {
            actions.timer((long) (backoffNanos * (0.5 + random.nextDouble())), WATCH_TIMER_TOKEN);
            // Keeps within the longest permitted age of the list, also with the largest jitter.
            backoffNanos = Math.min(
                    Math.min(MAX_BACKOFF_NANOS, settings.obligations().maxListAgeNanos() / 2), backoffNanos * 2);
        }
    }

    /** Handles a new request: sends it to a server, lets it wait for the fetch of its key, or refuses it. */
    public void onRequest(long nowNanos, Request request) {
        int classNumber = request.requestClass();
        RequestClass requestClass = classNumber < 0 ? null : settings.classes().get(classNumber);
        double cost = 1;
        if (request.workNanos() > 0) {
            meanWorkNanos += (request.workNanos() - meanWorkNanos) * (meanWorkNanos == 0 ? 1 : 0.01);
            cost = request.workNanos() / meanWorkNanos;
        }
        long usefulUntilNanos = usefulUntilNanos(nowNanos, request, requestClass);
        boolean shortTimeout = usefulUntilNanos - nowNanos < silenceTimeoutNanos(false);
        Pending pending = new Pending(request, requestClass, usefulUntilNanos, shortTimeout, cost);
        pendingRequests.put(request.id(), pending);
        retryBudget = Math.min(maxRetryBudget, retryBudget + RETRIES_PER_REQUEST);
        if (request.write()) {
            offerToOrigin(pending, nowNanos);
        } else if (!joinFetch(pending, nowNanos)) {
            sendToCache(pending, nowNanos);
        }
    }

    /** Returns the deadline, or the end of the target latency for a class in which late answers are worthless. */
    private long usefulUntilNanos(long nowNanos, Request request, RequestClass requestClass) {
        long deadline = request.deadlineNanos() - settings.quantumNanos();
        return requestClass == null || requestClass.lateWorth() > 0
                ? deadline
                : Math.min(
                        deadline,
                        nowNanos
                                + requestClass.targetNanos()
                                + (long) (requestClass.targetPerWork() * request.workNanos()));
    }

    /** Handles the end of an attempt: the request is answered, attempted again, or waits for another attempt. */
    public void onEnded(long nowNanos, Ended ended) {
        Node node = pool.find(ended.server(), nowNanos - ended.elapsedNanos());
        Pending pending = pendingRequests.get(ended.request());
        Attempt attempt = pending == null || ended.attempt() < 0 || ended.attempt() >= pending.attempts.size()
                ? null
                : pending.attempts.get(ended.attempt());
        if (node != null) {
            // A time-out is no evidence about the server if the client's timeout was short.
            Outcome counted = ended.outcome() == Outcome.LATE && pending != null && pending.shortTimeout
                    ? Outcome.CXL
                    : ended.outcome();
            recordOutcome(
                    node,
                    ended,
                    counted,
                    attempt != null && attempt.connects,
                    pending == null ? 1 : pending.cost,
                    nowNanos);
        }
        if (ended.outcome() == Outcome.NOP) {
            withdraw(pending != null ? pending : answeredInFlight.get(ended.request()), ended, node, nowNanos);
        }
        if (pending == null) {
            answeredInFlight.computeIfPresent(
                    ended.request(), (id, answered) -> --answered.inFlight > 0 ? answered : null);
        }
        pool.closeIdleConnections(nowNanos);
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        pending.attempts.set(
                ended.attempt(), new Attempt(attempt.node, attempt.sentNanos, attempt.connects, ended.outcome()));
        pending.inFlight--;
        if (ended.finished() || ended.outcome() == Outcome.GOOD) {
            complete(pending, nowNanos, ended.outcome() == Outcome.GOOD);
            return;
        }
        boolean fromOrigin = pool.isOrigin(attempt.node);
        if (fromOrigin && (ended.outcome() == Outcome.FULL || ended.outcome() == Outcome.CROWDED)) {
            if (!scheduleOriginRetry(pending, nowNanos)) {
                refuseOrFail(pending, retryAfterNanos(false), nowNanos);
            }
            return;
        }
        if (pending.ownsFetch && fromOrigin) {
            releaseFetchWaiters(pending, nowNanos, false);
        }
        // A copy that misses is fetched although the first attempt is in flight: that may never be answered.
        if (pending.inFlight > 0 && (ended.outcome() != Outcome.MISS || pending.repeat() != Repeat.PURE)) {
            return;
        }
        if (ended.outcome() == Outcome.MISS && !fromOrigin) {
            if (!joinFetch(pending, nowNanos)) {
                offerToOrigin(pending, nowNanos);
            }
        } else if (!isBrokenConnection(ended.outcome(), fromOrigin) && !spendRetry()) {
            refuseOrFail(pending, retryAfterNanos(false), nowNanos);
        } else if (fromOrigin) {
            offerToOrigin(pending, nowNanos);
        } else {
            sendToCache(pending, nowNanos);
        }
    }

    /** Reverts the accounting of an attempt that was never sent, at its node, the throttles and its tenant. */
    private void withdraw(Pending pending, Ended ended, Node node, long nowNanos) {
        if (pending == null || node == null || ended.attempt() < 0 || ended.attempt() >= pending.attempts.size()) {
            return;
        }
        long ageNanos = nowNanos - pending.attempts.get(ended.attempt()).sentNanos;
        pool.onWithdrawn(node, pending.cost, ageNanos, nowNanos);
        node.capacity.withdraw(pending.request.tenant(), windowOffers(pending), ageNanos);
        if (ended.attempt() == 0 && !pool.isOrigin(node)) {
            tier.withdraw(pending.request.tenant(), windowOffers(pending), ageNanos);
        }
    }

    /** Handles the disconnect of the client: the request needs no answer any more. */
    public void onClientGone(long nowNanos, long id) {
        Pending pending = pendingRequests.get(id);
        if (pending != null) {
            complete(pending, nowNanos, false);
        }
    }

    /** Handles the start of a streamed answer: the request gets no deadline or final answer from here on. */
    public void onResponseStarted(long nowNanos, long id) {
        Pending pending = pendingRequests.get(id);
        if (pending != null) {
            pending.inFlight = 0;
            complete(pending, nowNanos, true);
        }
    }

    /** Handles a due timer. */
    public void onTimer(long nowNanos, long token) {
        Pending pending = pendingRequests.get(token);
        if (token == WATCH_TIMER_TOKEN) {
            actions.watchList();
        } else if (pending != null && nowNanos >= pending.usefulUntilNanos) {
            refuseOrFail(pending, retryAfterNanos(false), nowNanos);
        } else if (pending != null && pending.resumeAtNanos != 0 && nowNanos >= pending.resumeAtNanos) {
            pending.resumeAtNanos = 0;
            offerToOrigin(pending, nowNanos);
        } else if (pending != null && pending.inFlight > 0 && !pending.awaitsFetch) {
            hedge(pending, nowNanos);
        }
        pool.closeIdleConnections(nowNanos);
    }

    // ---- reads

    private void sendToCache(Pending pending, long nowNanos) {
        int refusals = 0;
        if (pending.attempts.isEmpty()) {
            if (settings.proxies() < MANY_PROXIES) {
                tier.growAheadOfOffers();
            }
            refusals = offer(tier, pending, nowNanos) ? 0 : 2;
            pending.withinShare = tier.throttle.wasWithinShare();
        }
        // A tenant within its share of the tier may try a second cache when the first one's throttle refuses it;
        // other tenants may not, as each such move causes a miss at the second cache.
        while (refusals < (pending.withinShare ? 2 : 1)
                && pending.attempts.size() < settings.limits().attemptCap()) {
            Node node = pool.chooseCache(pending.key(), pending.triedCaches, nowNanos);
            if (node == null || pending.triedCaches.size() >= MAX_CACHES || nowNanos >= pending.usefulUntilNanos) {
                break;
            }
            pending.triedCaches.add(node);
            node.capacity.growAheadOfOffers();
            if (!offer(node.capacity, pending, nowNanos)) {
                refusals++;
            } else if (send(pending, node, nowNanos)) {
                scheduleTimer(pending, nowNanos + silenceTimeoutNanos(pending.last().connects), nowNanos);
                return;
            }
        }
        if (refusals > 0) {
            refuseOrFail(pending, retryAfterNanos(!pending.withinShare), nowNanos);
        } else {
            offerToOrigin(pending, nowNanos);
        }
    }

    private long silenceTimeoutNanos(boolean connects) {
        return (long) (SILENCE_PER_TARGET * minTargetNanos + (connects ? connectionSetUpNanos() : 0));
    }

    /** Lets a request wait if its key is being fetched, so that there is one fetch per key. */
    private boolean joinFetch(Pending pending, long nowNanos) {
        ArrayDeque<Pending> waiters = pending.request.keyed() ? fetchWaiters.get(pending.request.key()) : null;
        if (waiters == null || pending.attempts.size() >= settings.limits().attemptCap()) {
            return false;
        }
        waiters.add(pending);
        pending.awaitsFetch = true;
        scheduleTimer(pending, pending.usefulUntilNanos, nowNanos);
        return true;
    }

    private void releaseFetchWaiters(Pending owner, long nowNanos, boolean stored) {
        owner.ownsFetch = false;
        ArrayDeque<Pending> waiters = fetchWaiters.remove(owner.request.key());
        for (Pending pending : waiters == null ? List.<Pending>of() : waiters) {
            if (pending.awaitsFetch) {
                pending.awaitsFetch = false;
                pending.triedCaches.clear();
                if (stored || !joinFetch(pending, nowNanos)) {
                    sendToCache(pending, nowNanos);
                }
            }
        }
    }

    // ---- the origin

    /** Offers a fetch or a write to the origin's throttle: it is sent or refused at once. */
    private void offerToOrigin(Pending pending, long nowNanos) {
        Node origin = pool.origin();
        if (origin == null) {
            refuseOrFail(pending, retryAfterNanos(false), nowNanos);
        } else if (!offer(origin.capacity, pending, nowNanos)) {
            refuseOrFail(pending, retryAfterNanos(!origin.capacity.throttle.wasWithinShare()), nowNanos);
        } else if (!send(pending, origin, nowNanos)) {
            refuseOrFail(pending, retryAfterNanos(false), nowNanos);
        } else if (!pending.request.write() && pending.request.keyed()) {
            pending.ownsFetch |= fetchWaiters.putIfAbsent(pending.request.key(), new ArrayDeque<>(0)) == null;
        }
    }

    /**
     * Schedules a retry after the origin refused an attempt because it is full; a place becomes free in about one
     * answer time. If many proxies retried at once, they would meet the same full origin up to the attempt cap,
     * and each would count that as evidence of overload. So each waits a random part of the answer time, doubled
     * with each refusal, and the other readers of the key wait with it, even if a place is free sooner. Returns
     * false if no time, attempt or retry budget is left: the request has to be refused then.
     */
    private boolean scheduleOriginRetry(Pending pending, long nowNanos) {
        double usualNanos = originNanos > 0 ? originNanos : minTargetNanos * DEFAULT_ORIGIN_ANSWER_PER_TARGET;
        double waitNanos = usualNanos * (0.5 + random.nextDouble());
        for (int i = 0; i < pending.attempts.size() - 1; i++) {
            waitNanos *= pool.isOrigin(pending.attempts.get(i).node) ? 2 : 1;
        }
        long resumeAtNanos = nowNanos + (long) waitNanos;
        if (resumeAtNanos + usualNanos >= pending.usefulUntilNanos
                || pending.attempts.size() >= settings.limits().attemptCap()
                || !spendRetry()) {
            return false;
        }
        pending.resumeAtNanos = resumeAtNanos;
        scheduleTimer(pending, resumeAtNanos, nowNanos);
        return true;
    }

    private boolean offer(LearnedCapacity capacity, Pending pending, long nowNanos) {
        return capacity.offer(pending.request.tenant(), windowOffers(pending), nowNanos);
    }

    private double windowOffers(Pending pending) {
        double worth = pending.requestClass != null && maxWorth > 0 ? pending.requestClass.worth() / maxWorth : 1;
        return WINDOW_NO_WORTH + (WINDOW_MAX_WORTH - WINDOW_NO_WORTH) * Math.min(1, Math.max(0, worth));
    }

    private void recordOutcome(Node node, Ended ended, Outcome outcome, boolean connects, double cost, long nowNanos) {
        boolean fromCache = !pool.isOrigin(node);
        boolean accepted = outcome == Outcome.GOOD || outcome == Outcome.MISS;
        pool.onEnded(node, outcome, ended.elapsedNanos(), nowNanos);
        // A full connection table is no strain: c would be cut for connections that are idle.
        if (outcome == Outcome.CXL
                || outcome == Outcome.NOP
                || outcome == Outcome.CROWDED
                || isBrokenConnection(outcome, !fromCache)) {
            return;
        }
        if (accepted && fromCache) {
            double[] meanNanos = connects ? newConnectionNanos : keptConnectionNanos;
            meanNanos[0] += (ended.elapsedNanos() - meanNanos[0]) * (meanNanos[0] == 0 ? 1 : ANSWER_TIME_GAIN);
        }
        if (accepted && !fromCache) {
            originNanos += (ended.elapsedNanos() - originNanos) * (originNanos == 0 ? 1 : ANSWER_TIME_GAIN);
        }
        if (outcome == Outcome.GOOD && fromCache) {
            pool.onHit(node, ended.elapsedNanos() / cost);
        }
        double answerNanos = ended.elapsedNanos() - (connects ? connectionSetUpNanos() : 0);
        recordSample(
                node, nowNanos - ended.elapsedNanos(), accepted ? answerNanos / minTargetNanos : 1, accepted, nowNanos);
    }

    /**
     * Returns whether an outcome is a broken connection, which is not counted as strain. Otherwise a network that
     * drops a few connections in a hundred would starve the origin, so that misses stay misses, would move keys
     * and would use up the retries that are limited against overload. Also covers restarts and idle closes that
     * cross a request. A server that sheds load by resets is noticed only by time-outs; the attempt cap bounds
     * the repeats.
     */
    private static boolean isBrokenConnection(Outcome outcome, boolean fromOrigin) {
        return outcome == Outcome.RST || outcome == Outcome.NOCONN && !fromOrigin;
    }

    /**
     * Returns the time that a new connection adds to an answer. It is not counted as strain: where set-up is slow
     * or few connections can be kept, it would look like a general overload to c and to the hedging.
     */
    private double connectionSetUpNanos() {
        double addedNanos = keptConnectionNanos[0] == 0 ? 0 : newConnectionNanos[0] - keptConnectionNanos[0];
        return Math.min(minTargetNanos / 2.0, Math.max(0, addedNanos));
    }

    private void recordSample(Node node, long sentNanos, double strainSample, boolean accepted, long nowNanos) {
        boolean cut = node.capacity.onOutcome(sentNanos, strainSample, accepted, nowNanos);
        node.weight = cut ? Math.max(MIN_WEIGHT, node.weight * WEIGHT_CUT) : Math.min(1, node.weight * WEIGHT_GROWTH);
        // A cache that hangs is no sign of a general overload: its keys move to healthy caches.
        if (!pool.isOrigin(node) && !node.ejected && !pool.isSilent(node, nowNanos)) {
            tier.onOutcome(sentNanos, strainSample, accepted, nowNanos);
        }
    }

    // ---- every attempt

    /** Sends an attempt if server state, repeat safety, attempt cap, cold budget and remaining time allow it. */
    private boolean send(Pending pending, Node node, long nowNanos) {
        if (pending.answered
                || !node.isReady()
                || pool.find(node.id) != node
                || pending.attempts.size() >= settings.limits().attemptCap()
                || pending.inFlight > 0 && !settings.limits().duplicates()
                || nowNanos >= pending.usefulUntilNanos
                || !isSafeToRepeat(pending, node, nowNanos)
                || !pool.takeColdBudget(node, pending.cost, nowNanos)) {
            return false;
        }
        pending.attempts.add(new Attempt(node, nowNanos, pool.needsNewConnection(node, nowNanos), null));
        pending.inFlight++;
        pool.onSend(node, pending.cost, nowNanos);
        actions.send(pending.request.id(), node.id, pending.usefulUntilNanos);
        return true;
    }

    /**
     * Returns whether an attempt cannot cause a second effect: a request that may have run is repeated only where
     * and while servers deduplicate it. As an attempt may wait for a connection, the connect timeout is added.
     */
    private boolean isSafeToRepeat(Pending pending, Node node, long nowNanos) {
        long latestSendNanos = nowNanos + settings.limits().connectTimeoutNanos();
        return pending.repeat() == Repeat.PURE
                || pending.attempts.stream()
                        .filter(Attempt::mayHaveRun)
                        .allMatch(attempt -> pending.repeat() == Repeat.TOKEN
                                && inSameScope(pending.requestClass.scope(), attempt.node.entry, node.entry)
                                && latestSendNanos - attempt.sentNanos
                                        < pending.requestClass.deduplicationNanos() - settings.quantumNanos());
    }

    private static boolean inSameScope(Scope scope, Server first, Server second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone() && first.zone() != Api.UNKNOWN;
            case CELL -> first.cell() == second.cell();
        };
    }

    // ---- every final answer of this module

    /** Refuses the request if a retry by the client cannot cause a second effect, and fails it otherwise. */
    private void refuseOrFail(Pending pending, long retryAfterNanos, long nowNanos) {
        if (pending.answered) {
            return;
        }
        Repeat repeat = pending.repeat();
        if (repeat == Repeat.PURE
                || repeat == Repeat.TOKEN && pending.requestClass.scope() == Scope.ALL
                || pending.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
            actions.refuse(pending.request.id(), settings.limits().retryAfter() ? retryAfterNanos : 0);
        } else {
            actions.fail(pending.request.id());
        }
        complete(pending, nowNanos, false);
    }

    /** Forgets a request that has had its final answer and cancels its attempts in flight. */
    private void complete(Pending pending, long nowNanos, boolean served) {
        pending.answered = true;
        pending.awaitsFetch = false;
        pendingRequests.remove(pending.request.id());
        if (pending.inFlight > 0) {
            answeredInFlight.put(pending.request.id(), pending);
        }
        if (pending.inFlight > 0 && settings.limits().cancel()) {
            for (int i = 0; i < pending.attempts.size(); i++) {
                if (pending.attempts.get(i).outcome == null) {
                    actions.cancel(pending.request.id(), i);
                }
            }
        }
        if (pending.ownsFetch) {
            releaseFetchWaiters(pending, nowNanos, served);
        }
    }

    /** Returns a random delay, so that clients do not return together; longer for tenants beyond their share. */
    private long retryAfterNanos(boolean excess) {
        long maxNanos = settings.limits().maxRetryAfterNanos();
        double jitter = random.nextDouble();
        return (long) Math.min(maxNanos, excess ? maxNanos * (1 + jitter) / 2 : minTargetNanos * (0.1 + 0.3 * jitter));
    }

    private boolean spendRetry() {
        return retryBudget >= 1 && retryBudget-- >= 1;
    }

    private void scheduleTimer(Pending pending, long atNanos, long nowNanos) {
        actions.timer(Math.max(settings.quantumNanos(), atNanos - nowNanos), pending.request.id());
    }

    /** Ejects the cache of an unanswered attempt if it is silent, and sends a second copy to the next cache. */
    private void hedge(Pending pending, long nowNanos) {
        Attempt last = pending.last();
        boolean unanswered = !pool.isOrigin(last.node)
                && last.outcome == null
                && nowNanos - last.sentNanos >= silenceTimeoutNanos(last.connects);
        if (unanswered) {
            recordSample(last.node, last.sentNanos, 1, false, nowNanos);
            pool.onHit(last.node, (nowNanos - last.sentNanos) / pending.cost);
        }
        if (!unanswered || !pool.isSilent(last.node, nowNanos)) {
            return;
        }
        pool.eject(last.node, CachePool.MAX_EJECTED_FOR_LATENESS, nowNanos);
        if (pending.repeat() == Repeat.PURE && settings.limits().duplicates() && spendRetry()) {
            Node next = pool.chooseCache(pending.key(), pending.triedCaches, nowNanos);
            if (next != null && pending.triedCaches.add(next)) {
                send(pending, next, nowNanos);
            }
        }
    }
}
