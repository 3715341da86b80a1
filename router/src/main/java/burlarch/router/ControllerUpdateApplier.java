package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.router.control.ControllerLinks;
import burlarch.router.control.RouterCountMonitor;
import burlarch.router.lifecycle.StartupGateOpener;
import burlarch.router.prefixcache.PrefixCacheEventPublisher;
import burlarch.router.prefixcache.SourceSubscriptions;
import burlarch.routing.Planner;
import org.tinylog.Logger;

/**
 * Handler that puts the updates of the controllers into effect. Once the router has both a configuration and
 * instances, it becomes ready and {@link StartupGateOpener} decides when its startup gate opens. Runs on the event
 * loop.
 */
final class ControllerUpdateApplier implements ControllerLinks.UpdateHandler {
    private final Planner planner;
    private final Object plannerLock;
    private final RouterServer server;
    private final SourceSubscriptions sources;
    private final RouterCountMonitor routerCount;
    private final PrefixCacheEventPublisher publisher;
    private final StartupGateOpener gateOpener;
    /** Null until a configuration is in force. */
    private Configuration configuration;
    /** Null until instances are received. */
    private MergedInstanceView instances;

    ControllerUpdateApplier(
            Planner planner,
            Object plannerLock,
            RouterServer server,
            SourceSubscriptions sources,
            RouterCountMonitor routerCount,
            PrefixCacheEventPublisher publisher) {
        this.planner = planner;
        this.plannerLock = plannerLock;
        this.server = server;
        this.sources = sources;
        this.routerCount = routerCount;
        this.publisher = publisher;
        this.gateOpener = new StartupGateOpener(server.delays(), server::openStartupGate);
    }

    @Override
    public boolean onConfiguration(long version, byte[] json) {
        try {
            Configuration newConfiguration = ConfigurationDocument.parseTrusted(json);
            server.onConfiguration(newConfiguration);
            sources.onConfiguration(newConfiguration);
            configuration = newConfiguration;
            updateReadiness();
            return true;
        } catch (InvalidConfigurationException invalid) {
            Logger.error("configuration unreadable: version={} error={}", version, invalid.getMessage());
            return false;
        }
    }

    @Override
    public void onInstances(MergedInstanceView mergedInstances) {
        synchronized (plannerLock) {
            planner.onInstances(mergedInstances.instances(), System.nanoTime());
        }
        sources.onInstances(mergedInstances.instances());
        instances = mergedInstances;
        updateReadiness();
    }

    @Override
    public void onRouterCount(int liveRouters) {
        routerCount.onReportedCount(liveRouters);
    }

    @Override
    public void onControllerLost() {
        sources.onUpdatesMissedByOthers();
    }

    @Override
    public void onPrefixCacheBatch(byte[] batch) {
        publisher.onBatch(batch);
    }

    private void updateReadiness() {
        if (configuration != null && instances != null) {
            server.setReady(true);
            gateOpener.onUpdate(configuration, instances.instances());
        }
    }
}
