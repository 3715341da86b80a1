package burlarch.routing;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Service;
import burlarch.configuration.WeightedSplit;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.routing.index.PromptIndex;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The planner of one router. Holds the state that its parts share and puts their answers together; what is
 * out is told by {@link FlightLog}.
 */
public final class FleetPlanner implements Planner {
    /** Sends of one request to instances that turned it away, beyond the tries that its route allows. */
    private static final int MOST_NEVER_RAN = 2;
    /** Instances announce themselves about every second: one that is new, or all of them to a new router. */
    private static final long NO_INSTANCE_RETRY_MILLIS = 800;

    private static final long BUSY_RETRY_MILLIS = 150;
    /** Part of the bound for new weights after which engines with old ones get nothing more. */
    private static final double VERSION_GRACE = 0.75;
    /** Part of the aim within which a first event has to be expected for an engine to count as free. */
    private static final double FREE_PART_OF_AIM = 0.6;
    /** Fetches a second that one engine is taken to bear before any is known. */
    private static final double START_PER_ENGINE = 10;

    private final PlannerSettings settings;
    private final PromptIndex index = new PromptIndex();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final AttemptHistory history = new AttemptHistory();
    private final Candidates candidates = new Candidates();
    private final Salts salts = new Salts();
    private final Moves moves;
    private final PromptScheduler prompts;
    private final PlainScheduler plain;
    private final FlightLog flights;
    private Collection<Instance> instances = List.of();
    private int liveRouters = 1;

    public FleetPlanner(PlannerSettings settings) {
        this.settings = settings;
        this.moves = new Moves(settings, index);
        this.prompts = new PromptScheduler(settings, index, moves);
        this.plain = new PlainScheduler(settings);
        this.flights = new FlightLog(index, moves, history);
    }

    @Override
    public void onConfiguration(Configuration configuration, long nowNanos) {
        Set<String> named = new HashSet<>();
        for (Service service : configuration.services()) {
            if (service.kvStore() == null) {
                named.add(service.name());
                ServiceState state = services.get(service.name());
                if (state == null) {
                    state = new ServiceState(service, newBudget(nowNanos), new Admission());
                    services.put(service.name(), state);
                }
                state.update(service);
                double start = START_PER_ENGINE * Math.max(1, state.engines.size());
                state.admission.configure(configuration.tenants(), start, liveRouters);
            }
        }
        services.keySet().retainAll(named);
        moves.configure(configuration.services());
        onInstances(instances, nowNanos);
    }

    private RetryBudget newBudget(long nowNanos) {
        RetryBudget budget =
                new RetryBudget(settings.retryBudget(), settings.budgetWindowSeconds(), settings.budgetSlack());
        budget.onRouters(liveRouters, nowNanos);
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
        ids.addAll(moves.storeNames());
        index.retainSources(ids);
    }

    @Override
    public void onRouters(int live, long nowNanos) {
        liveRouters = Math.max(1, live);
        for (ServiceState service : services.values()) {
            service.budget.onRouters(liveRouters, nowNanos);
        }
    }

    @Override
    public void onKvEvents(KvEvents events, long nowNanos) {
        moves.onHeard(events.source());
        long read = index.onEvents(events, nowNanos);
        Engine engine = engines.get(events.source());
        if (engine != null && read > 0) {
            engine.reading.onRead(engine.speed.readNanos(read), nowNanos);
        }
    }

    @Override
    public void onKvList(KvEvents list, long nowNanos) {
        moves.onHeard(list.source());
        index.onList(list, nowNanos);
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
            index.forget(engine.id, CacheSalt.of(model, before, null, engine.id));
        }
        ServiceState service = services.get(engine.instance().service());
        if (service != null) {
            service.onVersion(model, version, nowNanos);
        }
    }

    @Override
    public Placement place(RouteRequest request, int attempt, long nowNanos) {
        flights.lookAtOverdue(nowNanos);
        ServiceState service = services.get(serviceOf(request));
        if (service == null) {
            return noInstance(request, "no such service", nowNanos);
        }
        AttemptHistory.Tried tried = attempt == 0 ? AttemptHistory.NOTHING : history.of(request.id());
        Placement.Refuse refusal = attempt == 0 ? null : further(request, service, tried, attempt, nowNanos);
        if (refusal != null) {
            return refusal;
        }
        if (nowNanos >= request.deadlineNanos()) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "deadline passed");
        }
        List<Engine> usable = candidates.of(
                service, request, tried, (long) (settings.versionMillis() * 1e6 * VERSION_GRACE), nowNanos);
        if (usable.isEmpty()) {
            return noInstance(request, "no instance is ready", nowNanos);
        }
        return service.isModelService() && request.model() != null
                ? placePrompt(request, service, usable, attempt, nowNanos)
                : placePlain(request, service, usable, attempt, nowNanos);
    }

    private static Placement.Refuse noInstance(RouteRequest request, String reason, long nowNanos) {
        long wait = (long) (NO_INSTANCE_RETRY_MILLIS * (0.5 + Rendezvous.unit(request.id())));
        return new Placement.Refuse(bounded(request, wait, nowNanos), reason);
    }

    /** The same for each attempt of a request. */
    private static String serviceOf(RouteRequest request) {
        return WeightedSplit.pick(request.route(), Rendezvous.hash(request.id()));
    }

    /** Whether and why a further attempt is not allowed, else null. */
    private static Placement.Refuse further(
            RouteRequest request, ServiceState service, AttemptHistory.Tried tried, int attempt, long nowNanos) {
        int ran = tried == AttemptHistory.NOTHING ? attempt : tried.mayHaveRun();
        int tries = Math.max(1, request.route().retries());
        if (ran > 0 && !mayRepeat(request.route())) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "may have run");
        }
        if (ran >= tries || attempt >= tries + MOST_NEVER_RAN) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "tries used up");
        }
        if (tried.arrived() > 0 && !service.budget.allows(nowNanos)) {
            return new Placement.Refuse(BUSY_RETRY_MILLIS, "retry budget used up");
        }
        return null;
    }

    private static boolean mayRepeat(Route route) {
        return route.type() == RouteType.IDEMPOTENT || route.type() == RouteType.STREAMING && route.resumable();
    }

    private Placement placePlain(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        Choice choice = plain.choose(request, usable, nowNanos);
        if (attempt == 0 && hopeless(request, service, choice.predictedNanos, nowNanos)) {
            return busy(request, choice.predictedNanos, nowNanos);
        }
        Placement.Send send = new Placement.Send(
                choice.engine.instance(),
                null,
                choice.engine.version(request.model()),
                null,
                null,
                priority(request),
                (long) choice.predictedNanos);
        flights.prepare(send, new Flight(choice.engine, service, request));
        return send;
    }

    private Placement placePrompt(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        salts.begin(request);
        Choice choice = prompts.choose(request, service, usable, salts, nowNanos);
        if (attempt == 0 && hopeless(request, service, choice.predictedNanos, nowNanos)) {
            return busy(request, choice.predictedNanos, nowNanos);
        }
        boolean offered = choice.fetch && attempt == 0;
        if (offered && !admits(request, service, choice, nowNanos)) {
            long wait = service.admission.retryAfterMillis(request);
            return new Placement.Refuse(bounded(request, wait, nowNanos), "over the share of fetches");
        }
        Moves.Source source = moves.source(request, service, choice, salts, nowNanos);
        String salt = salts.text(choice.engine);
        Placement.Send send = new Placement.Send(
                choice.engine.instance(),
                salt,
                choice.engine.version(request.model()),
                source == null ? null : source.address(),
                moves.saveTo(request, salt, nowNanos),
                priority(request),
                (long) choice.predictedNanos);
        Flight flight = new Flight(choice.engine, service, request);
        flight.fetch = offered;
        flight.tokensToMove = source == null ? 0 : source.gained();
        flight.moveNanos = source == null ? 0 : source.nanos();
        flight.tokensToRead = Math.max(0, PromptScheduler.promptTokens(request) - choice.kept - flight.tokensToMove);
        flight.memoryTokens = PromptScheduler.memoryTokens(request, choice.kept);
        flights.prepare(send, flight);
        return send;
    }

    /** The throttle's verdict. Where places are free for sure a refusal would waste them. */
    private boolean admits(RouteRequest request, ServiceState service, Choice choice, long nowNanos) {
        return service.admission.offer(request, service.bearableFetches() / liveRouters, nowNanos)
                || service.hasSparePlaces(nowNanos)
                || choice.engine.isFree(nowNanos)
                        && choice.predictedNanos < FREE_PART_OF_AIM * CostModel.aimLeftNanos(request, nowNanos);
    }

    /** Whether the first event is expected too late to be worth a place that others could use. */
    private boolean hopeless(RouteRequest request, ServiceState service, double predictedNanos, long nowNanos) {
        double aims = settings.refuseBeyondAims() * request.route().targetLatencyMillis() * 1e6;
        boolean late = predictedNanos > request.deadlineNanos() - nowNanos || aims > 0 && predictedNanos > aims;
        return late && !service.hasSparePlaces(nowNanos);
    }

    private Placement.Refuse busy(RouteRequest request, double predictedNanos, long nowNanos) {
        long wait = (long) (predictedNanos * 0.5e-6 * (0.5 + Rendezvous.unit(request.id())));
        return new Placement.Refuse(bounded(request, wait, nowNanos), "too much waits");
    }

    /** Clients honour a third of what is left of their time, and one that comes too late is no use. */
    private static long bounded(RouteRequest request, long millis, long nowNanos) {
        long third = (request.deadlineNanos() - nowNanos) / 3_000_000L;
        return Math.max(50, Math.min(millis, Math.min(2_000, third)));
    }

    private int priority(RouteRequest request) {
        return settings.priorityOf(Admission.rank(request));
    }

    @Override
    public void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        flights.onSent(request, send, nowNanos);
    }

    @Override
    public void onFirstEvent(RouteRequest request, Placement.Send send, long nowNanos) {
        flights.onFirstEvent(request, send, nowNanos);
    }

    @Override
    public void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos) {
        flights.onEnded(request, send, outcome, load, nowNanos);
    }
}
