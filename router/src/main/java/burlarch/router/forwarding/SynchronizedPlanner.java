package burlarch.router.forwarding;

import burlarch.configuration.Configuration;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;

/** Thread-safe access to the planner: each call holds the lock that all callers of the planner share. */
public final class SynchronizedPlanner {
    private final Planner planner;
    private final Object lock;

    /** @param lock guards the planner; every other caller of the planner holds it too */
    public SynchronizedPlanner(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    /** Passes a configuration that comes into force to the planner. */
    public void onConfiguration(Configuration configuration) {
        synchronized (lock) {
            planner.onConfiguration(configuration, System.nanoTime());
        }
    }

    /** Places an attempt; if it is to be sent, the planner counts it as sent from now on. */
    Placement place(RouteRequest request, int attempt) {
        synchronized (lock) {
            long nowNanos = System.nanoTime();
            Placement placement = planner.plan(request, attempt, nowNanos);
            if (placement instanceof Placement.Send send) {
                planner.onSent(request, send, nowNanos);
            }
            return placement;
        }
    }

    void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad load) {
        synchronized (lock) {
            planner.onFirstEvent(request, send, load, System.nanoTime());
        }
    }

    void onEnded(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load) {
        synchronized (lock) {
            planner.onEnded(request, send, outcome, load, System.nanoTime());
        }
    }

    void onWeightsVersion(String instance, String model, long version) {
        synchronized (lock) {
            planner.onWeightsVersion(instance, model, version, System.nanoTime());
        }
    }
}
