package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;

/** Calls the planner under the lock that all its callers share. */
final class SynchronizedPlanner {
    private final Planner planner;
    private final Object lock;

    SynchronizedPlanner(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    void configuration(Configuration configuration) {
        synchronized (lock) {
            planner.onConfiguration(configuration, System.nanoTime());
        }
    }

    /** Places an attempt; one that is to be sent counts as sent from here on. */
    Placement place(RouteRequest request, int attempt) {
        synchronized (lock) {
            long now = System.nanoTime();
            Placement placement = planner.place(request, attempt, now);
            if (placement instanceof Placement.Send send) {
                planner.onSent(request, send, now);
            }
            return placement;
        }
    }

    void first(RouteRequest request, Placement.Send send) {
        synchronized (lock) {
            planner.onFirstEvent(request, send, System.nanoTime());
        }
    }

    void ended(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load) {
        synchronized (lock) {
            planner.onEnded(request, send, outcome, load, System.nanoTime());
        }
    }

    void weights(String instance, String model, long version) {
        synchronized (lock) {
            planner.onWeightsVersion(instance, model, version, System.nanoTime());
        }
    }
}
