package burlarch.controller.rollout;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.ownership.LeaseManager;
import burlarch.controller.ownership.SingletonRole;
import burlarch.controller.state.SystemState;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.rollout.OrderResult;
import burlarch.coordination.rollout.RolloutAction;
import burlarch.coordination.rollout.WeightsRollout;
import burlarch.engine.EngineAddress;
import burlarch.engine.EngineControlClient;
import burlarch.engine.WeightsOrder;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * Coordinator that brings engines to the target versions of model weights while this controller holds the role's lease.
 * Runs on the event loop, to which the engines' responses are passed. {@link WeightsRollout} makes the decisions and
 * owns their state.
 *
 * <p>Invariant <em>no order without a lease</em>: {@link LeaseManager#mayAct} is checked immediately before each order.
 */
public final class RolloutCoordinator implements SingletonRole {
    private static final long INSTANCES_PERIOD_NANOS = 300_000_000;

    private final EventLoop loop;
    private final InstanceRegistry registry;
    private final RouterPublisher publisher;
    private final EngineControlClient engines;
    private final WeightsRollout rollout;
    /** Null before {@link #start}. */
    private LeaseManager lease;

    private EventLoop.Timer timer;

    public RolloutCoordinator(
            EventLoop loop,
            InstanceRegistry registry,
            RouterPublisher publisher,
            EngineControlClient engines,
            WeightsRollout rollout) {
        this.loop = loop;
        this.registry = registry;
        this.publisher = publisher;
        this.engines = engines;
        this.rollout = rollout;
    }

    /** Starts following the instances. Must be called once. */
    public void start(LeaseManager roleLease) {
        lease = roleLease;
        loop.schedule(INSTANCES_PERIOD_NANOS, this::updateInstances);
    }

    /** Whether some engine still has to load newer weights. */
    @Override
    public boolean hasWork() {
        return !rollout.isComplete();
    }

    /** Takes the target versions of a newly committed state, and requests a check of the lease if there is work. */
    public void onCommitted(SystemState state) {
        perform(rollout.onTargets(state.weights(), loop.nanoTime()));
        if (hasWork()) {
            lease.wake();
        }
    }

    private void updateInstances() {
        loop.schedule(INSTANCES_PERIOD_NANOS, this::updateInstances);
        List<Instance> live = registry.snapshot().instances().stream()
                .filter(instance -> instance.state() != InstanceState.GONE)
                .toList();
        perform(rollout.onInstances(live, loop.nanoTime()));
    }

    @Override
    public void onAcquired(long fencingToken) {
        perform(rollout.onOwnership(fencingToken, loop.nanoTime()));
    }

    @Override
    public void onLost() {
        perform(rollout.onOwnershipLost(loop.nanoTime()));
    }

    private void perform(List<RolloutAction> actions) {
        for (RolloutAction action : actions) {
            if (action instanceof RolloutAction.SendOrder order) {
                sendOrder(order);
            } else if (action instanceof RolloutAction.MarkLoading mark) {
                registry.beginLoading(mark.instanceId(), loop.nanoTime());
            } else if (action instanceof RolloutAction.ClearLoading clear) {
                registry.endLoading(clear.instanceId());
            } else if (action instanceof RolloutAction.RequestReport request) {
                requestReport(request.instanceId());
            } else if (action instanceof RolloutAction.Timer timerRequest) {
                scheduleTimer(timerRequest);
            } else if (action instanceof RolloutAction.OwnershipLost) {
                loop.execute(lease::onFenced);
            }
        }
        publisher.sendInstances();
    }

    private void sendOrder(RolloutAction.SendOrder order) {
        Optional<Instance> instance = registry.find(order.instanceId());
        if (instance.isEmpty() || !lease.mayAct()) {
            loop.execute(() -> onResult(order, OrderResult.NO_RESPONSE));
            return;
        }
        WeightsOrder weightsOrder = new WeightsOrder(
                order.model(),
                order.version(),
                order.mode(),
                lease.holderName(),
                order.fencingToken(),
                order.expectedSequence());
        engines.order(address(instance.get()), weightsOrder)
                .thenAccept(result -> loop.execute(() -> onResult(order, result)));
    }

    private void onResult(RolloutAction.SendOrder order, OrderResult result) {
        Logger.info(
                "weights order ended: model={} version={} instance={} result={}",
                order.model(),
                order.version(),
                order.instanceId(),
                result);
        perform(rollout.onOrderResult(order.instanceId(), result, loop.nanoTime()));
    }

    private void requestReport(String id) {
        Optional<Instance> instance = registry.find(id);
        if (instance.isEmpty()) {
            loop.execute(() -> perform(rollout.onReport(id, Optional.empty(), loop.nanoTime())));
            return;
        }
        engines.report(address(instance.get()))
                .thenAccept(report -> loop.execute(() -> perform(rollout.onReport(id, report, loop.nanoTime()))));
    }

    private static EngineAddress address(Instance instance) {
        return new EngineAddress(instance.id(), instance.address());
    }

    private void scheduleTimer(RolloutAction.Timer timerRequest) {
        if (timer != null) {
            timer.cancel();
        }
        timer = loop.schedule(
                Math.max(0, timerRequest.atNanos() - loop.nanoTime()), () -> perform(rollout.onTimer(loop.nanoTime())));
    }
}
