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
import burlarch.routing.instance.Engine;
import java.util.Collection;
import java.util.List;

/**
 * The planner of one router. It combines the decisions of its parts, see the package's description; what
 * they share is in {@link FleetState}, and what attempts show is evaluated by {@link InFlightAttempts}.
 */
public final class FleetPlanner implements Planner {
    /** Fraction of the time for new weights after which engines with old ones receive no more requests. */
    private static final double VERSION_GRACE_FRACTION = 0.75;
    /** An engine counts as free only if the first event is expected within this fraction of the time left. */
    private static final double FREE_ENGINE_TARGET_FRACTION = 0.6;

    private final PlannerSettings settings;
    private final long versionGraceNanos;
    private final FleetState fleet;
    private final AttemptHistory history = new AttemptHistory();
    private final CandidateSelector candidates = new CandidateSelector();
    private final RequestCacheSalt salts = new RequestCacheSalt();
    private final KvTransferPlanner transfers;
    private final PromptScheduler promptScheduler;
    private final PlainScheduler plainScheduler;
    private final InFlightAttempts attempts;

    /** A planner that knows no services and no instances yet. */
    public FleetPlanner(PlannerSettings settings) {
        this(settings, AttemptObserver.NONE);
    }

    /** As {@link #FleetPlanner(PlannerSettings)}; the observer is notified of each attempt that has ended. */
    public FleetPlanner(PlannerSettings settings, AttemptObserver observer) {
        PrefixCacheIndex index = new PrefixCacheIndex();
        this.settings = settings;
        this.versionGraceNanos = (long) (settings.versionMillis() * 1e6 * VERSION_GRACE_FRACTION);
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
            return Refusals.withoutInstance(request, "no such service", nowNanos);
        }
        AttemptHistory.PreviousAttempts previous = attempt == 0 ? AttemptHistory.NONE : history.of(request.id());
        if (attempt > 0) {
            RetryPolicy.Decision decision = RetryPolicy.decide(request, service.budget(), previous, attempt, nowNanos);
            if (decision != RetryPolicy.Decision.ALLOWED) {
                return Refusals.retry(decision);
            }
        }
        if (nowNanos >= request.deadlineNanos()) {
            return Refusals.deadlinePassed();
        }
        List<Engine> usable = candidates.select(service, request, previous, versionGraceNanos, nowNanos);
        if (usable.isEmpty()) {
            return Refusals.withoutInstance(request, "no instance is ready", nowNanos);
        }
        Placement placement = service.isModelService() && request.model() != null
                ? planPrompt(request, service, usable, attempt, nowNanos)
                : planPlain(request, service, usable, attempt, nowNanos);
        if (attempt == 0) {
            service.urgencyExchange().onPlanned(request.rank(), placement instanceof Placement.Send, nowNanos);
        }
        return placement;
    }

    /** The service of the route, or one of its weighted services; the same for all attempts of a request. */
    private static String serviceOf(RouteRequest request) {
        return TrafficSplitter.pick(request.route(), RendezvousHash.hash(request.id()));
    }

    private Placement planPlain(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        SchedulingChoice choice = plainScheduler.choose(request, usable, nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos(), nowNanos)) {
            return Refusals.busy(request, choice.predictedNanos(), nowNanos);
        }
        Placement.Send send = new Placement.Send(
                choice.engine().instance(),
                null,
                choice.engine().version(request.model()),
                null,
                null,
                settings.priorityOf(request.rank()),
                (long) choice.predictedNanos());
        attempts.prepare(send, InFlightAttempt.plain(choice.engine(), service, request, attempt));
        return send;
    }

    private Placement planPrompt(
            RouteRequest request, ServiceState service, List<Engine> usable, int attempt, long nowNanos) {
        salts.begin(request, service.newestSupersededVersion(request.model(), nowNanos));
        SchedulingChoice choice =
                promptScheduler.choose(request, service, usable, salts, fleet.liveRouters(), nowNanos);
        if (attempt == 0 && wouldMissTarget(request, service, choice.predictedNanos(), nowNanos)) {
            return Refusals.busy(request, choice.predictedNanos(), nowNanos);
        }
        boolean offered = choice.isFetch() && attempt == 0;
        if (offered
                && !admits(request, service, choice, nowNanos)
                && !placesUrgent(request, service, choice, nowNanos)) {
            return Refusals.overFetchQuota(request, service.admission(), nowNanos);
        }
        if (attempt == 0 && yieldsToUrgent(request, service, choice, nowNanos)) {
            return Refusals.busy(request, choice.predictedNanos(), nowNanos);
        }
        KvTransferPlanner.TransferSource source = transfers.chooseSource(request, service, choice, salts, nowNanos);
        String salt = salts.text(choice.engine());
        Placement.Send send = new Placement.Send(
                choice.engine().instance(),
                salt,
                choice.engine().version(request.model()),
                source == null ? null : source.address(),
                transfers.storeToSaveTo(request, salts, choice.engine(), nowNanos),
                settings.priorityOf(request.rank()),
                (long) choice.predictedNanos());
        attempts.prepare(send, InFlightAttempt.prompt(service, request, attempt, choice, source, offered));
        return send;
    }

    /** Whether a fetch may be sent: it is admitted, or a rejection would leave free capacity unused. */
    private boolean admits(RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        double sustainablePerSecond = service.sustainableFetchesPerSecond() / fleet.liveRouters();
        return service.admission().offer(request, sustainablePerSecond, nowNanos)
                || service.hasSpareSlots(nowNanos)
                || choice.engine().isFree(nowNanos)
                        && choice.predictedNanos()
                                < FREE_ENGINE_TARGET_FRACTION * request.latencyTargetLeftNanos(nowNanos);
    }

    /** Whether a fetch that is not admitted takes the place of less urgent requests; not for a tenant that floods. */
    private static boolean placesUrgent(
            RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        return !service.admission().isFlooding(request)
                && service.urgencyExchange().placesUrgent(request.rank(), tokensToPrefill(request, choice), nowNanos);
    }

    /** Whether the request gives way to more urgent fetches that are not admitted. */
    private static boolean yieldsToUrgent(
            RouteRequest request, ServiceState service, SchedulingChoice choice, long nowNanos) {
        return !service.hasSpareSlots(nowNanos)
                && service.urgencyExchange().yieldsToUrgent(request.rank(), tokensToPrefill(request, choice), nowNanos);
    }

    private static int tokensToPrefill(RouteRequest request, SchedulingChoice choice) {
        return Math.max(0, request.totalPromptTokens() - choice.cachedTokens());
    }

    /** Whether the first event is expected so late that the request is not worth a slot that others could use. */
    private boolean wouldMissTarget(RouteRequest request, ServiceState service, double predictedNanos, long nowNanos) {
        double limitNanos =
                settings.refuseBeyondLatencyTargets() * request.route().targetLatencyMillis() * 1e6;
        boolean late =
                predictedNanos > request.deadlineNanos() - nowNanos || limitNanos > 0 && predictedNanos > limitNanos;
        return late && !service.hasSpareSlots(nowNanos);
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
