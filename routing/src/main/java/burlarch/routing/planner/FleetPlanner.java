package burlarch.routing.planner;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Service;
import burlarch.configuration.WeightedSplit;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.CacheSalt;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;
import burlarch.routing.admission.FetchAdmission;
import burlarch.routing.admission.RetryBudget;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.Engine;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The planner of one router. Holds the state that its parts share and puts their answers together; what is
 * out is told by {@link InFlightAttempts}.
 */
public final class FleetPlanner implements Planner {
    /** Sends of one request to instances that turned it away, beyond the tries that its route allows. */
    private static final int MAX_REJECTED_ATTEMPTS = 2;
    /** Instances announce themselves about every second: one that is new, or all of them to a new router. */
    private static final long NO_INSTANCE_RETRY_MILLIS = 800;

    private static final long BUSY_RETRY_MILLIS = 150;
    /** Part of the bound for new weights after which engines with old ones get nothing more. */
    private static final double VERSION_GRACE = 0.75;
    /** Part of the aim within which a first event has to be expected for an engine to count as free. */
    private static final double FREE_ENGINE_TARGET_FRACTION = 0.6;
    /** Fetches a second that one engine is taken to bear before any is known. */
    private static final double INITIAL_FETCHES_PER_ENGINE = 10;

    private final PlannerSettings settings;
    private final PrefixCacheIndex index = new PrefixCacheIndex();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final AttemptHistory history = new AttemptHistory();
    private final CandidateSelector candidates = new CandidateSelector();
    private final RequestCacheSalt salts = new RequestCacheSalt();
    private final KvTransferPlanner transfers;
    private final PromptScheduler promptScheduler;
    private final PlainScheduler plainScheduler;
    private final InFlightAttempts attempts;
    private Collection<Instance> instances = List.of();
    private int liveRouters = 1;

    public FleetPlanner(PlannerSettings settings) {
        this.settings = settings;
        this.transfers = new KvTransferPlanner(settings, index);
        this.promptScheduler = new PromptScheduler(settings, index, transfers);
        this.plainScheduler = new PlainScheduler(settings);
        this.attempts = new InFlightAttempts(index, transfers, history);
    }

    @Override
    public void onConfiguration(Configuration configuration, long nowNanos) {
        Set<String> named = new HashSet<>();
        for (Service service : configuration.services()) {
            if (service.kvStore() == null) {
                named.add(service.name());
                ServiceState state = services.get(service.name());
                if (state == null) {
                    state = new ServiceState(service, newBudget(nowNanos), new FetchAdmission());
                    services.put(service.name(), state);
                }
                state.update(service);
                double start = INITIAL_FETCHES_PER_ENGINE * Math.max(1, state.engines.size());
                state.admission.configure(configuration.tenants(), start, liveRouters);
            }
        }
        services.keySet().retainAll(named);
        transfers.configure(configuration.services());
        onInstances(instances, nowNanos);
    }

    private RetryBudget newBudget(long nowNanos) {
        RetryBudget budget =
                new RetryBudget(settings.retryBudget(), settings.budgetWindowSeconds(), settings.budgetSlack());
        budget.onLiveRouters(liveRouters, nowNanos);
        return budget;
    }

    @Override
    public void onInstances(Collection<Instance> known, long nowNanos) {
        instances = List.copyOf(known);
        for (ServiceState service : services.values()) {
            service.engines.clear();
        }
        Set<String> ids = new HashSet<>();
        for (Instance instance : instances) {
            ids.add(instance.id());
            ServiceState service = services.get(instance.service());
            Engine engine = engines.computeIfAbsent(
                    instance.id(), id -> new Engine(instance, service == null ? null : service.speed));
            engine.update(instance);
            if (service != null) {
                service.engines.add(engine);
                if (service.isModelService()) {
                    index.addSource(engine.id, service.kvCapacity());
                }
            }
            for (ServedModel model : instance.models() == null ? List.<ServedModel>of() : instance.models()) {
                onVersion(engine, model.name(), model.version(), nowNanos);
            }
        }
        engines.keySet().retainAll(ids);
        ids.addAll(transfers.storeNames());
        index.retainSources(ids);
    }

    @Override
    public void onLiveRouters(int live, long nowNanos) {
        liveRouters = Math.max(1, live);
        for (ServiceState service : services.values()) {
            service.budget.onLiveRouters(liveRouters, nowNanos);
        }
    }

    @Override
    public void onKvEvents(KvEvents events, long nowNanos) {
        transfers.onEventsReceived(events.source());
        long read = index.onEvents(events, nowNanos);
        Engine engine = engines.get(events.source());
        if (engine != null && read > 0) {
            engine.prefillLoad.onPrefilled(engine.speed.prefillNanos(read), nowNanos);
        }
    }

    @Override
    public void onKvList(KvEvents list, long nowNanos) {
        transfers.onEventsReceived(list.source());
        index.onFullList(list, nowNanos);
    }

    @Override
    public void onWeightsVersion(String instance, String model, long version, long nowNanos) {
        Engine engine = engines.get(instance);
        if (engine != null && model != null) {
            onVersion(engine, model, version, nowNanos);
        }
    }

    private void onVersion(Engine engine, String model, long version, long nowNanos) {
        long before = engine.onVersion(model, version);
        if (before > 0) {
            index.forgetVersion(engine.id, CacheSalt.of(model, before, null, engine.id));
        }
        ServiceState service = services.get(engine.instance().service());
        if (service != null) {
            service.onVersion(model, version, nowNanos);
        }
    }

    @Override
    public Placement plan(RouteRequest request, int attempt, long nowNanos) {
        attempts.checkOverdue(nowNanos);
        ServiceState service = services.get(serviceOf(request));
        if (service == null) {
            return refuseWithoutInstance(request, "no such service", nowNanos);
        }
        AttemptHistory.PreviousAttempts tried = attempt == 0 ? AttemptHistory.NONE : history.of(request.id());
        Placement.Refuse refusal = attempt == 0 ? null : refusalOfRetry(request, service, tried, attempt, nowNanos);
        if (refusal != null) {
            return refusal;
        }
        if (nowNanos >= request.deadlineNanos()) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "deadline passed");
        }
        List<Engine> usable = candidates.of(
                service, request, tried, (long) (settings.versionMillis() * 1e6 * VERSION_GRACE), nowNanos);
        if (usable.isEmpty()) {
            return refuseWithoutInstance(request, "no instance is ready", nowNanos);
        }
        return service.isModelService() && request.model() != null
                ? planPrompt(request, service, usable, attempt, nowNanos)
                : planPlain(request, service, usable, attempt, nowNanos);
    }

    private static Placement.Refuse refuseWithoutInstance(RouteRequest request, String reason, long nowNanos) {
        long wait = (long) (NO_INSTANCE_RETRY_MILLIS * (0.5 + RendezvousHash.unit(request.id())));
        return new Placement.Refuse(boundedRetryAfterMillis(request, wait, nowNanos), reason);
    }

    /** The same for each attempt of a request. */
    private static String serviceOf(RouteRequest request) {
        return WeightedSplit.pick(request.route(), RendezvousHash.hash(request.id()));
    }

    /** Whether and why a further attempt is not allowed, else null. */
    private static Placement.Refuse refusalOfRetry(
            RouteRequest request,
            ServiceState service,
            AttemptHistory.PreviousAttempts tried,
            int attempt,
            long nowNanos) {
        int possiblyRun = tried == AttemptHistory.NONE ? attempt : tried.mayHaveRun();
        int maxAttempts = Math.max(1, request.route().retries());
        if (possiblyRun > 0 && !mayRepeat(request.route())) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "may have run");
        }
        if (possiblyRun >= maxAttempts || attempt >= maxAttempts + MAX_REJECTED_ATTEMPTS) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "tries used up");
        }
        if (tried.possiblyReceived() > 0 && !service.budget.allows(nowNanos)) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "retry budget used up");
        }
        return null;
    }

    private static boolean mayRepeat(Route route) {
        return route.type() == RouteType.IDEMPOTENT || route.type() == RouteType.STREAMING && route.resumable();
    }

    private Placement planPlain(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        SchedulingChoice choice = plainScheduler.choose(request, usable, nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos, nowNanos)) {
            return refuseAsBusy(request, choice.predictedNanos, nowNanos);
        }
        Placement.Send send = new Placement.Send(
                choice.engine.instance(),
                null,
                choice.engine.version(request.model()),
                null,
                null,
                priority(request),
                (long) choice.predictedNanos);
        attempts.prepare(send, new InFlightAttempt(choice.engine, service, request));
        return send;
    }

    private Placement planPrompt(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        salts.begin(request);
        SchedulingChoice choice = promptScheduler.choose(request, service, usable, salts, nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos, nowNanos)) {
            return refuseAsBusy(request, choice.predictedNanos, nowNanos);
        }
        boolean offered = choice.fetch && attempt == 0;
        if (offered && !admits(request, service, choice, nowNanos)) {
            long wait = service.admission.retryAfterMillis(request);
            return new Placement.Refuse(boundedRetryAfterMillis(request, wait, nowNanos), "over the share of fetches");
        }
        KvTransferPlanner.TransferSource source = transfers.chooseSource(request, service, choice, salts, nowNanos);
        String salt = salts.text(choice.engine);
        Placement.Send send = new Placement.Send(
                choice.engine.instance(),
                salt,
                choice.engine.version(request.model()),
                source == null ? null : source.address(),
                transfers.storeToSaveTo(request, salt, nowNanos),
                priority(request),
                (long) choice.predictedNanos);
        InFlightAttempt inFlight = new InFlightAttempt(choice.engine, service, request);
        inFlight.fetch = offered;
        inFlight.tokensToTransfer = source == null ? 0 : source.gainedTokens();
        inFlight.transferNanos = source == null ? 0 : source.nanos();
        inFlight.tokensToPrefill =
                Math.max(0, PromptScheduler.promptTokens(request) - choice.cachedTokens - inFlight.tokensToTransfer);
        inFlight.memoryTokens = PromptScheduler.memoryTokens(request, choice.cachedTokens);
        attempts.prepare(send, inFlight);
        return send;
    }

    /** The throttle's verdict. Where places are free for sure a refusal would waste them. */
    private boolean admits(RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        return service.admission.offer(request, service.sustainableFetchesPerSecond() / liveRouters, nowNanos)
                || service.hasSpareSlots(nowNanos)
                || choice.engine.isFree(nowNanos)
                        && choice.predictedNanos
                                < FREE_ENGINE_TARGET_FRACTION * CostModel.latencyTargetLeftNanos(request, nowNanos);
    }

    /** Whether the first event is expected too late to be worth a place that others could use. */
    private boolean wouldMissTarget(RouteRequest request, ServiceState service, double predictedNanos, long nowNanos) {
        double limitNanos =
                settings.refuseBeyondLatencyTargets() * request.route().targetLatencyMillis() * 1e6;
        boolean late =
                predictedNanos > request.deadlineNanos() - nowNanos || limitNanos > 0 && predictedNanos > limitNanos;
        return late && !service.hasSpareSlots(nowNanos);
    }

    private Placement.Refuse refuseAsBusy(RouteRequest request, double predictedNanos, long nowNanos) {
        long wait = (long) (predictedNanos * 0.5e-6 * (0.5 + RendezvousHash.unit(request.id())));
        return new Placement.Refuse(boundedRetryAfterMillis(request, wait, nowNanos), "too much waits");
    }

    /** Clients honour a third of what is left of their time, and one that comes too late is no use. */
    private static long boundedRetryAfterMillis(RouteRequest request, long millis, long nowNanos) {
        long thirdOfRemainingMillis = (request.deadlineNanos() - nowNanos) / 3_000_000L;
        return Math.max(50, Math.min(millis, Math.min(2_000, thirdOfRemainingMillis)));
    }

    private int priority(RouteRequest request) {
        return settings.priorityOf(FetchAdmission.rank(request));
    }

    @Override
    public void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        attempts.onSent(request, send, nowNanos);
    }

    @Override
    public void onFirstEvent(RouteRequest request, Placement.Send send, long nowNanos) {
        attempts.onFirstEvent(request, send, nowNanos);
    }

    @Override
    public void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos) {
        attempts.onEnded(request, send, outcome, load, nowNanos);
    }
}
