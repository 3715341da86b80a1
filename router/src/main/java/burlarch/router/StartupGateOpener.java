package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import burlarch.engine.DelayedExecutor;
import java.util.Collection;

/**
 * Decides when a router that has just been told where requests go lets those pass that wait. After a start of
 * all controllers instances come in one by one, and all that waits would crowd at the first of them. Told by
 * one thread; the delays may run on another.
 */
final class StartupGateOpener {
    /** With no further instance for so long those that announce themselves often have done so. */
    static final long QUIET_MILLIS = 200;
    /** A service of which nothing is heard for this long has no instances. */
    static final long MOST_CLOSED_MILLIS = 1500;

    private final DelayedExecutor delays;
    private final Runnable open;
    private volatile int known = -1;

    /** @param open called at least once, perhaps again */
    StartupGateOpener(DelayedExecutor delays, Runnable open) {
        this.delays = delays;
        this.open = open;
    }

    /** What is in force by now, whole. */
    void onInformed(Configuration configuration, Collection<Instance> instances) {
        int before = known;
        int now = instances.size();
        if (before < 0) {
            delays.schedule(open, MOST_CLOSED_MILLIS);
        }
        if (now > before) {
            known = now;
            if (ServiceAvailability.isWhole(configuration, instances)) {
                delays.schedule(() -> openIfStill(now), QUIET_MILLIS);
            }
        }
    }

    private void openIfStill(int then) {
        if (known == then) {
            open.run();
        }
    }
}
