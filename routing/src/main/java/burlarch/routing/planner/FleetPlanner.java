package burlarch.routing.planner;

import burlarch.configuration.Configuration;
import burlarch.configuration.TrafficSplitter;
import burlarch.coordination.registry.Instance;
import burlarch.routing.AttemptObserver;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouterPosition;
import burlarch.routing.ServerLoad;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.TrackedInstance;
import java.util.Collection;
import java.util.List;

/**
 * The planner of one router. It combines the decisions of its components, see the package documentation. Their shared
 * state is in {@link FleetState}; {@link InFlightAttempts} evaluates the attempts.
 */
public final class FleetPlanner implements Planner {
    /** Fraction of the time for a weights update after which engines with old weights receive no more requests. */
    private static final double WEIGHTS_GRACE_FRACTION = 0.75;
    /**
     * Maximum expected time to the first event at a lightly loaded engine, as a fraction of the time left until the
     * latency target.
     */
    private static final double LIGHT_LOAD_TARGET_FRACTION = 0.6;

    private final PlannerSettings settings;
    private final long weightsGraceNanos;
    private final FleetState fleet;
    private final AttemptHistory history = new AttemptHistory();
    private final CandidateSelector candidateSelector = new CandidateSelector();
    private final RequestCacheSalt salts = new RequestCacheSalt();
    private final KvTransferPlanner transfers;
    private final PromptScheduler promptScheduler;
    private final PlainScheduler plainScheduler;
    private final InFlightAttempts attempts;

    /** Creates a planner that knows no services and no instances. */
    public FleetPlanner(PlannerSettings settings) {
        this(settings, AttemptObserver.NONE);
    }

    /** As {@link #FleetPlanner(PlannerSettings)}, with an observer that is notified of each ended attempt. */
    public FleetPlanner(PlannerSettings settings, AttemptObserver observer) {
        PrefixCacheIndex index = new PrefixCacheIndex();
        this.settings = settings;
        this.weightsGraceNanos = (long) (settings.weightsUpdateMillis() * 1e6 * WEIGHTS_GRACE_FRACTION);
        this.transfers = new KvTransferPlanner(settings, index);
        this.fleet = new FleetState(settings, index, transfers);
        this.promptScheduler = new PromptScheduler(settings, index, transfers);
        this.plainScheduler = new PlainScheduler(settings);
        this.attempts = new InFlightAttempts(settings, index, transfers, history, observer);
    }

    @Override
    public void onConfiguration(Configuration configuration, long nowNanos) {
        fleet.onConfiguration(configuration, nowNanos);
    }

    @Override
    public void onInstances(Collection<Instance> instances, long nowNanos) {
        fleet.onInstances(instances, nowNanos);
    }

    @Override
    public void onLiveRouters(int live, long nowNanos) {
        fleet.onLiveRouters(live, nowNanos);
    }

    @Override
    public void onRouterPosition(RouterPosition position, long nowNanos) {
        fleet.onRouterPosition(position);
    }

    @Override
    public void onKvEvents(KvEvents events, long nowNanos) {
        fleet.onKvEvents(events, nowNanos);
    }

    @Override
    public void onKvList(KvEvents list, long nowNanos) {
        fleet.onKvList(list, nowNanos);
    }

    @Override
    public void onWeightsVersion(String instance, String model, long version, long nowNanos) {
        fleet.onWeightsVersion(instance, model, version, nowNanos);
    }

    @Override
    public Placement plan(RouteRequest request, int attempt, long nowNanos) {
        attempts.checkOverdue(nowNanos);
        ServiceState service = fleet.service(serviceOf(request));
        if (service == null) {
            return Rejections.withoutInstance(request, "no such service", nowNanos);
        }
        AttemptHistory.PreviousAttempts previous = attempt == 0 ? AttemptHistory.NONE : history.of(request.id());
        if (attempt > 0) {
            RetryPolicy.Decision decision = RetryPolicy.decide(request, service.budget(), previous, attempt, nowNanos);
            if (decision != RetryPolicy.Decision.ALLOWED) {
                return Rejections.retryDenied(decision);
            }
        }
        if (nowNanos >= request.deadlineNanos()) {
            return Rejections.deadlinePassed();
        }
        List<TrackedInstance> candidates =
                candidateSelector.select(service, request, previous, weightsGraceNanos, nowNanos);
        if (candidates.isEmpty()) {
            return Rejections.withoutInstance(request, "no instance is ready", nowNanos);
        }
        Placement placement = service.isModelService() && request.model() != null
                ? planPrompt(request, service, candidates, attempt, nowNanos)
                : planPlain(request, service, candidates, attempt, nowNanos);
        if (attempt == 0) {
            service.priorityShedding().onPlanned(request.rank(), placement instanceof Placement.Send, nowNanos);
        }
        return placement;
    }

    /**
     * Returns the service of the route, or one of its weighted services. It is the same for all attempts of a request.
     */
    private static String serviceOf(RouteRequest request) {
        return TrafficSplitter.pick(request.route(), RendezvousHash.hash(request.id()));
    }

    private Placement planPlain(
            RouteRequest request, ServiceState service, List<TrackedInstance> candidates, int attempt, long nowNanos) {
        SchedulingChoice choice = plainScheduler.choose(request, candidates, nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos(), nowNanos)) {
            return Rejections.overloaded(request, choice.predictedNanos(), nowNanos);
        }
        Placement.Send send = new Placement.Send(
                choice.instance().announcement(),
                null,
                choice.instance().version(request.model()),
                null,
                null,
                settings.priorityOf(request.rank()),
                (long) choice.predictedNanos());
        attempts.prepare(send, InFlightAttempt.plain(choice.instance(), service, request, attempt));
        return send;
    }

    private Placement planPrompt(
            RouteRequest request, ServiceState service, List<TrackedInstance> candidates, int attempt, long nowNanos) {
        salts.begin(request, service.newestSupersededVersion(request.model(), nowNanos));
        SchedulingChoice choice =
                promptScheduler.choose(request, service, candidates, salts, fleet.liveRouters(), nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos(), nowNanos)) {
            return Rejections.overloaded(request, choice.predictedNanos(), nowNanos);
        }
        boolean offeredToAdmission = choice.isCacheMiss() && attempt == 0;
        if (offeredToAdmission
                && !admits(request, service, choice, nowNanos)
                && !placesOnCredit(request, service, choice, nowNanos)) {
            return Rejections.overCacheMissQuota(request, service.admission(), nowNanos);
        }
        if (attempt == 0 && shedsForUrgent(request, service, choice, nowNanos)) {
            return Rejections.overloaded(request, choice.predictedNanos(), nowNanos);
        }
        KvTransferPlanner.TransferSource source = transfers.chooseSource(request, service, choice, salts, nowNanos);
        String salt = salts.text(choice.instance());
        Placement.Send send = new Placement.Send(
                choice.instance().announcement(),
                salt,
                choice.instance().version(request.model()),
                source == null ? null : source.address(),
                transfers.storeToSaveTo(request, salts, choice.instance(), nowNanos),
                settings.priorityOf(request.rank()),
                (long) choice.predictedNanos());
        attempts.prepare(send, InFlightAttempt.prompt(service, request, attempt, choice, source, offeredToAdmission));
        return send;
    }

    /** Whether a cache miss may be sent: it is admitted, or a rejection would leave free capacity unused. */
    private boolean admits(RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        double sustainablePerSecond = service.sustainableMissesPerSecond() / fleet.liveRouters();
        return service.admission().offer(request, sustainablePerSecond, nowNanos)
                || service.hasSpareSlots(nowNanos)
                || choice.instance().isLightlyLoaded(nowNanos)
                        && choice.predictedNanos()
                                < LIGHT_LOAD_TARGET_FRACTION * request.latencyTargetLeftNanos(nowNanos);
    }

    /**
     * Whether a cache miss that is not admitted is placed on the credit of shed requests. A flooding tenant gets no
     * credit.
     */
    private static boolean placesOnCredit(
            RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        return !service.admission().isFlooding(request)
                && service.priorityShedding()
                        .placesOnCredit(request.rank(), tokensToPrefill(request, choice), nowNanos);
    }

    /** Whether the request is shed in favour of more urgent cache misses that are not admitted. */
    private static boolean shedsForUrgent(
            RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        return !service.hasSpareSlots(nowNanos)
                && service.priorityShedding()
                        .shedsForUrgent(request.rank(), tokensToPrefill(request, choice), nowNanos);
    }

    private static int tokensToPrefill(RouteRequest request, SchedulingChoice choice) {
        return Math.max(0, request.totalPromptTokens() - choice.cachedTokens());
    }

    /** Whether the first event is expected so late that the request should not take a slot that others could use. */
    private boolean wouldMissTarget(RouteRequest request, ServiceState service, double predictedNanos, long nowNanos) {
        double limitNanos =
                settings.rejectBeyondLatencyTargets() * request.route().targetLatencyMillis() * 1e6;
        boolean tooLate =
                predictedNanos > request.deadlineNanos() - nowNanos || limitNanos > 0 && predictedNanos > limitNanos;
        return tooLate && !service.hasSpareSlots(nowNanos);
    }

    @Override
    public void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        attempts.onSent(request, send, nowNanos);
    }

    @Override
    public void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad load, long nowNanos) {
        attempts.onFirstEvent(request, send, load, nowNanos);
    }

    @Override
    public void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos) {
        attempts.onEnded(request, send, outcome, load, nowNanos);
    }
}
