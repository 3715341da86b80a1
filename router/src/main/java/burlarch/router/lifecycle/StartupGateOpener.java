package burlarch.router.lifecycle;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import burlarch.engine.DelayedExecutor;
import java.util.Collection;

/**
 * Opener of the startup gate: decides when the gate opens after the router received its first configuration and
 * instances. After a start of all controllers, instances register one by one; if the gate opened with the first
 * instance, all waiting requests would be sent to it. Therefore the gate opens once each service has an instance
 * and none was added for {@link #QUIET_PERIOD_MILLIS}, at the latest after {@link #MAX_CLOSED_MILLIS}.
 *
 * <p>Updates arrive on one thread; delayed tasks may run on another.
 */
public final class StartupGateOpener {
    /** Instances send heartbeats frequently: if none was added for this long, all have registered. */
    static final long QUIET_PERIOD_MILLIS = 200;
    /** A service without an instance for this long is assumed to have none. */
    static final long MAX_CLOSED_MILLIS = 1500;

    private static final int NO_UPDATE_RECEIVED = -1;

    private final DelayedExecutor delayedExecutor;
    private final Runnable openGate;
    private volatile int knownInstances = NO_UPDATE_RECEIVED;

    /**
     * Creates an opener.
     *
     * @param openGate opens the gate; runs at least once, possibly more often
     */
    public StartupGateOpener(DelayedExecutor delayedExecutor, Runnable openGate) {
        this.delayedExecutor = delayedExecutor;
        this.openGate = openGate;
    }

    /** Called with the configuration in force and all known instances. */
    public void onUpdate(Configuration configuration, Collection<Instance> instances) {
        int previousCount = knownInstances;
        int count = instances.size();
        if (previousCount == NO_UPDATE_RECEIVED) {
            delayedExecutor.schedule(openGate, MAX_CLOSED_MILLIS);
        }
        if (count > previousCount) {
            knownInstances = count;
            if (ServiceAvailability.hasInstanceOfEachService(configuration, instances)) {
                delayedExecutor.schedule(() -> openIfUnchanged(count), QUIET_PERIOD_MILLIS);
            }
        }
    }

    private void openIfUnchanged(int countThen) {
        if (knownInstances == countThen) {
            openGate.run();
        }
    }
}
