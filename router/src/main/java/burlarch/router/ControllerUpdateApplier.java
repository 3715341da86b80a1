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
 * Puts the updates of the controllers into effect. The router becomes ready, and its startup gate is prepared
 * to open, once it has both a configuration and instances. Runs on the event loop.
 */
final class ControllerUpdateApplier implements ControllerLinks.UpdateHandler {
    private final Planner planner;
    private final Object plannerLock;
    private final RouterServer server;
    private final SourceSubscriptions sources;
    private final RouterCountMonitor routerCount;
    private final PrefixCacheEventPublisher publisher;
    private final StartupGateOpener gateOpener;
    /** Null until one is in force. */
    private Configuration configuration;
    /** Null until instances were received. */
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
            Configuration newer = ConfigurationDocument.parseTrusted(json);
            server.onConfiguration(newer);
            sources.onConfiguration(newer);
            configuration = newer;
            becomeReadyIfInformed();
            return true;
        } catch (InvalidConfigurationException invalid) {
            Logger.error("configuration unreadable: version={} error={}", version, invalid.getMessage());
            return false;
        }
    }

    @Override
    public void onInstances(MergedInstanceView merged) {
        synchronized (plannerLock) {
            planner.onInstances(merged.instances(), System.nanoTime());
        }
        sources.onInstances(merged.instances());
        instances = merged;
        becomeReadyIfInformed();
    }

    @Override
    public void onRouterCount(int live) {
        routerCount.onReportedCount(live);
    }

    @Override
    public void onControllerLost() {
        sources.onUpdatesMissedByOthers();
    }

    @Override
    public void onPrefixCacheBatch(byte[] batch) {
        publisher.onBatch(batch);
    }

    private void becomeReadyIfInformed() {
        if (configuration != null && instances != null) {
            server.setReady(true);
            gateOpener.onUpdate(configuration, instances.instances());
        }
    }
}
