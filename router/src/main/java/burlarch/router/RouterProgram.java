package burlarch.router;

import burlarch.configuration.IndexedRouteTable;
import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.engine.EngineClient;
import burlarch.engine.KvEventSubscriber;
import burlarch.node.MembershipService;
import burlarch.node.NodeAddresses;
import burlarch.node.NodeBounds;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.node.RandomIds;
import burlarch.node.SettingsFileWatcher;
import burlarch.node.ShutdownHook;
import burlarch.router.control.ConfigurationConfirmer;
import burlarch.router.control.ControllerLinks;
import burlarch.router.control.RouterCountMonitor;
import burlarch.router.control.RouterCountTracker;
import burlarch.router.control.RouterPositionTracker;
import burlarch.router.forwarding.CredentialValidity;
import burlarch.router.lifecycle.DrainSchedule;
import burlarch.router.prefixcache.PrefixCacheEventPublisher;
import burlarch.router.prefixcache.PrefixIndexUpdater;
import burlarch.router.prefixcache.SourceSubscriptions;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouterPosition;
import burlarch.routing.planner.FleetPlanner;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import burlarch.transport.SelectorEventLoop;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Entry point of the router program: creates its components and starts them. */
public final class RouterProgram {
    private static final double NANOS_PER_SECOND = 1e9;

    private RouterProgram() {}

    /** Starts the router, which runs on its own threads until it is terminated by a signal. */
    public static void run(NodeSettings settings) throws Exception {
        Planner planner = new FleetPlanner(plannerSettings(settings), AttemptLog.ifEnabled());
        Object plannerLock = new Object();
        SelectorEventLoop loop = new SelectorEventLoop("node");
        Optional<ConfigurationConfirmer> confirmer = confirmer(settings, loop);
        RouterServer server = startServer(settings, planner, plannerLock, confirmer);
        String name = NodeAddresses.memberName(settings, NodeRoles.ROUTER);
        PrefixIndexUpdater indexUpdater = new PrefixIndexUpdater(planner, plannerLock);
        PrefixCacheEventPublisher publisher = new PrefixCacheEventPublisher(loop, indexUpdater);
        KvEventSubscriber subscriber = new KvEventSubscriber(
                new EngineClient(server.newEngineHttp()),
                publisher,
                server.delays(),
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextDouble());
        SourceSubscriptions sources = new SourceSubscriptions(name, subscriber, indexUpdater);
        RouterCountMonitor routerCount = new RouterCountMonitor(
                loop,
                new RouterCountTracker(
                        BudgetSettings.forWindow(settings.bounds().budgetWindowNanos()),
                        settings.bootstrap(),
                        loop.nanoTime()),
                shares -> setBudgetShares(planner, plannerLock, shares),
                sources::onRouterCount);
        ControllerLinks links = new ControllerLinks(
                new ControllerUpdateApplier(planner, plannerLock, server, sources, routerCount, publisher), confirmer);
        RouterPositionTracker positionTracker = new RouterPositionTracker(name, settings.zone());
        MembershipService membership = joinMembership(settings, loop, links, routerCount, sources, members -> {
            if (positionTracker.onMembers(members)) {
                setPosition(planner, plannerLock, positionTracker.position());
            }
        });
        confirmer.ifPresent(
                startedConfirmer -> loop.execute(() -> startedConfirmer.start(links::connectedControllers)));
        loop.execute(() -> publisher.start(sources::isShared, () -> links.publishingController(name, settings.zone())));
        SettingsFileWatcher.start(
                newSettings -> loop.execute(() -> links.addControllers(NodeAddresses.seeds(newSettings))));
        ShutdownHook.onSignal(() -> {
            long signalledAtNanos = System.nanoTime();
            server.drain().join();
            membership.leaveWithinTimeout();
            server.closeClientConnections();
            Logger.info(
                    "router ends: node={} elapsedMillis={}",
                    settings.nodeName(),
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNanos));
        });
        Logger.info(
                "router listening: node={} front={}",
                settings.nodeName(),
                settings.listen().front());
    }

    /** Present only if the revocation of keys has a time limit, because each confirmation costs a quorum read. */
    private static Optional<ConfigurationConfirmer> confirmer(NodeSettings settings, SelectorEventLoop loop) {
        return settings.bounds().revocation()
                ? Optional.of(new ConfigurationConfirmer(loop, settings.bounds().revokeNanos()))
                : Optional.empty();
    }

    private static RouterServer startServer(
            NodeSettings settings, Planner planner, Object plannerLock, Optional<ConfigurationConfirmer> confirmer)
            throws Exception {
        CredentialValidity credentials =
                confirmer.isPresent() ? confirmer.get()::mayAccept : CredentialValidity.UNBOUNDED;
        DrainSchedule drainSchedule = DrainSchedule.within(
                TimeUnit.NANOSECONDS.toMillis(settings.bounds().graceNanos()),
                TimeUnit.NANOSECONDS.toMillis(settings.bounds().transitNanos()));
        RouterServer server = new RouterServer(
                new RouterServerSettings(
                        settings.listen().front(),
                        settings.listen().readiness(),
                        drainSchedule,
                        RouterServerSettings.CONNECT_TIMEOUT_MILLIS,
                        RouterServerSettings.maxClientConnections(
                                settings.limits().maxDescriptors())),
                planner,
                plannerLock,
                IndexedRouteTable::of,
                credentials);
        server.start();
        return server;
    }

    /** Connects to the controllers and joins the membership on the event loop. */
    private static MembershipService joinMembership(
            NodeSettings settings,
            SelectorEventLoop loop,
            ControllerLinks links,
            RouterCountMonitor routerCount,
            SourceSubscriptions sources,
            Consumer<Collection<MemberInfo>> onMembers)
            throws IOException {
        String name = NodeAddresses.memberName(settings, NodeRoles.ROUTER);
        String address = NodeAddresses.own(settings, NodeRoles.ROUTER);
        List<String> seeds = NodeAddresses.seeds(settings);
        long processId = RandomIds.nonZero();
        NodeTransport transport = new NodeTransport(
                loop,
                new NodeMessage.Hello(
                        name, NodeRoles.ROUTER, address, settings.zone(), "", Long.toHexString(processId)),
                NodeAddresses.socket(address),
                links);
        MembershipService membership = new MembershipService(
                loop,
                new MembershipService.Self(name, NodeRoles.ROUTER, settings.zone(), processId),
                NodeAddresses.socket(address),
                seeds,
                SwimSettings.defaults());
        loop.execute(() -> {
            links.start(transport, seeds);
            routerCount.start(links::isConnectedToMostKnownControllers);
            membership.addListener(routerCount);
            membership.addListener(changes -> sources.onMembers(membership.members()));
            membership.addListener(changes -> onMembers.accept(membership.members()));
            membership.addListener(changes ->
                    links.addControllers(MembershipService.addressesOfNewMembers(changes, NodeRoles.CONTROLLER)));
            membership.start();
        });
        return membership;
    }

    private static void setBudgetShares(Planner planner, Object plannerLock, int shares) {
        synchronized (plannerLock) {
            planner.onLiveRouters(shares, System.nanoTime());
        }
    }

    private static void setPosition(Planner planner, Object plannerLock, RouterPosition position) {
        synchronized (plannerLock) {
            planner.onRouterPosition(position, System.nanoTime());
        }
    }

    private static PlannerSettings plannerSettings(NodeSettings settings) {
        NodeBounds bounds = settings.bounds();
        return PlannerSettings.of(
                settings.zone(),
                settings.zones(),
                bounds.retryBudget(),
                bounds.budgetWindowNanos() / NANOS_PER_SECOND,
                bounds.budgetSlack(),
                TimeUnit.NANOSECONDS.toMillis(bounds.versionNanos()));
    }
}
