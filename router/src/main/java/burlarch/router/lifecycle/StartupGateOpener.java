package burlarch.router.lifecycle;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import burlarch.engine.DelayedExecutor;
import java.util.Collection;

/**
 * Decides when the startup gate of a router opens that has just received its first configuration and
 * instances. After a start of all controllers instances register one by one; a gate that opened with the first
 * of them would send all waiting requests to it. The gate therefore opens once each service has an instance
 * and none was added for {@link #QUIET_MILLIS}, in any case after {@link #MAX_CLOSED_MILLIS}.
 *
 * <p>Updates come on one thread; delayed tasks may run on another.
 */
public final class StartupGateOpener {
    /** Instances that announce themselves frequently have all done so if none was added for this long. */
    static final long QUIET_MILLIS = 200;
    /** A service without an instance for this long has none. */
    static final long MAX_CLOSED_MILLIS = 1500;

    private static final int NOTHING_RECEIVED = -1;

    private final DelayedExecutor delays;
    private final Runnable open;
    private volatile int knownInstances = NOTHING_RECEIVED;

    /** @param open runs at least once, possibly more often */
    public StartupGateOpener(DelayedExecutor delays, Runnable open) {
        this.delays = delays;
        this.open = open;
    }

    /** The complete configuration and all instances that are known now. */
    public void onUpdate(Configuration configuration, Collection<Instance> instances) {
        int before = knownInstances;
        int now = instances.size();
        if (before == NOTHING_RECEIVED) {
            delays.schedule(open, MAX_CLOSED_MILLIS);
        }
        if (now > before) {
            knownInstances = now;
            if (ServiceAvailability.hasInstanceOfEachService(configuration, instances)) {
                delays.schedule(() -> openIfUnchanged(now), QUIET_MILLIS);
            }
        }
    }

    private void openIfUnchanged(int instancesThen) {
        if (knownInstances == instancesThen) {
            open.run();
        }
    }
}
