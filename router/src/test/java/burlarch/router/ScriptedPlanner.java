package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouterPosition;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Fake planner: places attempt N at the Nth of its instances, round robin, and records its calls. */
final class ScriptedPlanner implements Planner {
    record EndedAttempt(String instance, AttemptOutcome outcome, ServerLoad load) {}

    private final List<String> addresses = new ArrayList<>();
    final BlockingQueue<EndedAttempt> endedAttempts = new LinkedBlockingQueue<>();
    final BlockingQueue<RouteRequest> placedRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<String> weightsVersions = new LinkedBlockingQueue<>();
    int sentCount;
    volatile Placement.Reject refusal;
    volatile int refuseFromAttempt = Integer.MAX_VALUE;
    /** Thrown when a first event is reported; null for none. */
    volatile RuntimeException failureAtFirstEvent;

    ScriptedPlanner(ScriptedEngine... engines) {
        for (ScriptedEngine engine : engines) {
            addresses.add(engine.address());
        }
    }

    void setAddresses(String... newAddresses) {
        addresses.clear();
        addresses.addAll(List.of(newAddresses));
    }

    EndedAttempt nextEndedAttempt() throws InterruptedException {
        EndedAttempt attempt = endedAttempts.poll(5, TimeUnit.SECONDS);
        if (attempt == null) {
            throw new AssertionError("no attempt has ended");
        }
        return attempt;
    }

    @Override
    public Placement plan(RouteRequest request, int attempt, long nowNanos) {
        placedRequests.add(request);
        if (refusal != null || attempt >= refuseFromAttempt) {
            return refusal == null ? new Placement.Reject(1250, "budget") : refusal;
        }
        int index = attempt % addresses.size();
        Instance instance = new Instance(
                "i-" + index, "svc", addresses.get(index), "zone", "v1", 8, InstanceState.READY, 0, List.of(), 1);
        return new Placement.Send(instance, "salt", 7, "10.0.0.1:1", "10.0.0.2:2", 3, 0);
    }

    @Override
    public void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        sentCount++;
    }

    @Override
    public void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos) {
        endedAttempts.add(new EndedAttempt(send.instance().id(), outcome, load));
    }

    @Override
    public void onWeightsVersion(String instance, String model, long version, long nowNanos) {
        weightsVersions.add(instance + " " + model + " " + version);
    }

    @Override
    public void onConfiguration(Configuration configuration, long nowNanos) {}

    @Override
    public void onInstances(Collection<Instance> instances, long nowNanos) {}

    @Override
    public void onLiveRouters(int liveRouters, long nowNanos) {}

    @Override
    public void onRouterPosition(RouterPosition position, long nowNanos) {}

    @Override
    public void onKvEvents(KvEvents events, long nowNanos) {}

    @Override
    public void onKvList(KvEvents list, long nowNanos) {}

    @Override
    public void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad load, long nowNanos) {
        if (failureAtFirstEvent != null) {
            throw failureAtFirstEvent;
        }
    }
}
