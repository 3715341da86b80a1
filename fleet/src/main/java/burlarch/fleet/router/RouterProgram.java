package burlarch.fleet.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.IndexedRouteTable;
import burlarch.configuration.InvalidConfiguration;
import burlarch.coordination.registry.InstanceViews;
import burlarch.fleet.engine.EngineClient;
import burlarch.fleet.engine.EventFollower;
import burlarch.fleet.node.NodeAddresses;
import burlarch.fleet.node.NodeBounds;
import burlarch.fleet.node.NodeSettings;
import burlarch.fleet.node.Shutdown;
import burlarch.routing.FleetPlanner;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.transport.NodeLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** A router: takes requests of clients and sends each to an instance. */
public final class RouterProgram {
    private static final String ROLE = "router";
    private static final double NANOS_A_SECOND = 1e9;

    private RouterProgram() {
    }

    /** Starts the router; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        Planner planner = new FleetPlanner(plannerSettings(settings));
        Object lock = new Object();
        long graceMillis = TimeUnit.NANOSECONDS.toMillis(settings.bounds().graceNanos());
        RouterServer server = new RouterServer(new RouterServerSettings(settings.listen().front(),
                settings.listen().readiness(), graceMillis), planner, lock, IndexedRouteTable::of);
        server.start();
        NodeLoop loop = new NodeLoop("node");
        EventFollower follower = new EventFollower(new EngineClient(server.newEngineHttp()),
                new IndexFeed(planner, lock), server.delays(), System::nanoTime,
                () -> ThreadLocalRandom.current().nextDouble());
        ControllerLinks links = new ControllerLinks(
                new InForce(planner, lock, server, new FollowedSources(settings.nodeName(), follower)));
        NodeMessage.Hello hello = new NodeMessage.Hello(settings.nodeName(), ROLE, NodeAddresses.own(settings),
                settings.zone(), "", UUID.randomUUID().toString());
        NodeTransport transport = new NodeTransport(loop, hello,
                NodeAddresses.socket(NodeAddresses.own(settings)), NodeTransport.Listener.of(links));
        loop.execute(() -> links.start(transport, NodeAddresses.seeds(settings)));
        Shutdown.onSignal(() -> server.drain().join());
        Logger.info("{} serves {}", settings.nodeName(), settings.listen().front());
    }

    private static PlannerSettings plannerSettings(NodeSettings settings) {
        NodeBounds bounds = settings.bounds();
        return PlannerSettings.of(settings.zone(), settings.zones(), bounds.retryBudget(),
                bounds.budgetWindowNanos() / NANOS_A_SECOND, bounds.budgetSlack(),
                TimeUnit.NANOSECONDS.toMillis(bounds.versionNanos()));
    }

    /** Puts into force what controllers tell. */
    private static final class InForce implements ControllerLinks.Effects {
        private final Planner planner;
        private final Object lock;
        private final RouterServer server;
        private final FollowedSources sources;
        private boolean configured;
        private boolean instancesTold;

        InForce(Planner planner, Object lock, RouterServer server, FollowedSources sources) {
            this.sources = sources;
            this.planner = planner;
            this.lock = lock;
            this.server = server;
        }

        @Override
        public boolean onConfiguration(long version, byte[] json) {
            try {
                Configuration configuration = ConfigurationDocument.parseTrusted(json);
                server.onConfiguration(configuration);
                sources.onConfiguration(configuration);
                configured = true;
                becomeReady();
                return true;
            } catch (InvalidConfiguration unreadable) {
                Logger.error("configuration {} cannot be read: {}", version, unreadable.getMessage());
                return false;
            }
        }

        @Override
        public void onInstances(InstanceViews views) {
            synchronized (lock) {
                planner.onInstances(views.instances(), System.nanoTime());
            }
            sources.onInstances(views.instances());
            instancesTold = true;
            becomeReady();
        }

        @Override
        public void onRouters(int live) {
            synchronized (lock) {
                planner.onRouters(live, System.nanoTime());
            }
            sources.onRouters(live);
        }

        private void becomeReady() {
            if (configured && instancesTold) {
                server.setReady(true);
            }
        }
    }
}
