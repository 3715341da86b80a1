package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.IndexedRouteTable;
import burlarch.configuration.InvalidConfiguration;
import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.membership.SwimSettings;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.engine.EngineClient;
import burlarch.engine.KvEventSubscriber;
import burlarch.node.MembershipService;
import burlarch.node.NodeAddresses;
import burlarch.node.NodeBounds;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.node.SettingsFileWatcher;
import burlarch.node.ShutdownHook;
import burlarch.routing.FleetPlanner;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import burlarch.transport.SelectorEventLoop;
import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A router: takes requests of clients and sends each to an instance. */
public final class RouterProgram {
    private static final double NANOS_A_SECOND = 1e9;

    private RouterProgram() {}

    /** Starts the router; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        Planner planner = new FleetPlanner(plannerSettings(settings));
        Object lock = new Object();
        long graceMillis = TimeUnit.NANOSECONDS.toMillis(settings.bounds().graceNanos());
        RouterServer server = new RouterServer(
                new RouterServerSettings(
                        settings.listen().front(), settings.listen().readiness(), graceMillis),
                planner,
                lock,
                IndexedRouteTable::of);
        server.start();
        SelectorEventLoop loop = new SelectorEventLoop("node");
        PrefixIndexUpdater feed = new PrefixIndexUpdater(planner, lock);
        PrefixCacheEventPublisher relay = new PrefixCacheEventPublisher(loop, feed);
        KvEventSubscriber follower = new KvEventSubscriber(
                new EngineClient(server.newEngineHttp()),
                relay,
                server.delays(),
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextDouble());
        SourceSubscriptions sources = new SourceSubscriptions(settings.nodeName(), follower, feed);
        RouterCountMonitor size = new RouterCountMonitor(
                loop,
                new RouterCountTracker(
                        BudgetSettings.forWindow(settings.bounds().budgetWindowNanos()),
                        settings.bootstrap(),
                        loop.nanoTime()),
                sharers -> tellPlanner(planner, lock, sharers),
                sources::onRouters);
        ControllerLinks links = new ControllerLinks(new InForce(planner, lock, server, sources, size, relay));
        MembershipService membership = join(settings, loop, links, size, sources);
        loop.execute(() -> relay.start(sources::isShared, () -> links.relayFor(settings.nodeName(), settings.zone())));
        SettingsFileWatcher.start(newer -> loop.execute(() -> links.addControllers(NodeAddresses.seeds(newer))));
        ShutdownHook.onSignal(() -> {
            server.drain().join();
            membership.leaveWithinTimeout();
        });
        Logger.info("{} serves {}", settings.nodeName(), settings.listen().front());
    }

    /** Connects with the controllers and joins the members. */
    private static MembershipService join(
            NodeSettings settings,
            SelectorEventLoop loop,
            ControllerLinks links,
            RouterCountMonitor size,
            SourceSubscriptions sources)
            throws IOException {
        String address = NodeAddresses.own(settings);
        List<String> seeds = NodeAddresses.seeds(settings);
        UUID incarnation = UUID.randomUUID();
        NodeTransport transport = new NodeTransport(
                loop,
                new NodeMessage.Hello(
                        settings.nodeName(), NodeRoles.ROUTER, address, settings.zone(), "", incarnation.toString()),
                NodeAddresses.socket(address),
                links);
        MembershipService membership = new MembershipService(
                loop,
                new MembershipService.Self(
                        settings.nodeName(), NodeRoles.ROUTER, settings.zone(), incarnation.getLeastSignificantBits()),
                NodeAddresses.socket(address),
                seeds,
                SwimSettings.defaults());
        loop.execute(() -> {
            links.start(transport, seeds);
            size.start(links::reachesMostControllers);
            membership.addListener(size);
            membership.addListener(changes -> sources.onMembers(membership.members()));
            membership.addListener(changes ->
                    links.addControllers(MembershipService.appearedAddresses(changes, NodeRoles.CONTROLLER)));
            membership.start();
        });
        return membership;
    }

    private static void tellPlanner(Planner planner, Object lock, int routers) {
        synchronized (lock) {
            planner.onRouters(routers, System.nanoTime());
        }
    }

    private static PlannerSettings plannerSettings(NodeSettings settings) {
        NodeBounds bounds = settings.bounds();
        return PlannerSettings.of(
                settings.zone(),
                settings.zones(),
                bounds.retryBudget(),
                bounds.budgetWindowNanos() / NANOS_A_SECOND,
                bounds.budgetSlack(),
                TimeUnit.NANOSECONDS.toMillis(bounds.versionNanos()));
    }

    /** Puts into force what controllers tell. */
    private static final class InForce implements ControllerLinks.UpdateHandler {
        private final Planner planner;
        private final Object lock;
        private final RouterServer server;
        private final SourceSubscriptions sources;
        private final RouterCountMonitor size;
        private final StartupGateOpener opening;
        private final PrefixCacheEventPublisher relay;
        private Configuration configuration;
        private MergedInstanceView instances;

        InForce(
                Planner planner,
                Object lock,
                RouterServer server,
                SourceSubscriptions sources,
                RouterCountMonitor size,
                PrefixCacheEventPublisher relay) {
            this.relay = relay;
            this.sources = sources;
            this.size = size;
            this.planner = planner;
            this.lock = lock;
            this.server = server;
            this.opening = new StartupGateOpener(server.delays(), server::open);
        }

        @Override
        public boolean onConfiguration(long version, byte[] json) {
            try {
                Configuration newer = ConfigurationDocument.parseTrusted(json);
                server.onConfiguration(newer);
                sources.onConfiguration(newer);
                configuration = newer;
                becomeReady();
                return true;
            } catch (InvalidConfiguration unreadable) {
                Logger.error("configuration {} cannot be read: {}", version, unreadable.getMessage());
                return false;
            }
        }

        @Override
        public void onInstances(MergedInstanceView views) {
            synchronized (lock) {
                planner.onInstances(views.instances(), System.nanoTime());
            }
            sources.onInstances(views.instances());
            instances = views;
            becomeReady();
        }

        @Override
        public void onRouterCount(int live) {
            size.onTold(live);
        }

        @Override
        public void onControllerLost() {
            sources.onOthersBehind();
        }

        @Override
        public void onPrefixCacheBatch(byte[] batch) {
            relay.onBatch(batch);
        }

        private void becomeReady() {
            if (configuration != null && instances != null) {
                server.setReady(true);
                opening.onInformed(configuration, instances.instances());
            }
        }
    }
}
