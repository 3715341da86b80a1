package burlarch.controller.rollout;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.ownership.LeaseManager;
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

/** Brings engines to the named weights while this controller owns the duty. Lives on the loop. */
public final class RolloutCoordinator implements LeaseManager.SingletonRole {
    private static final long PERIOD_NANOS = 300_000_000;

    private final EventLoop loop;
    private final InstanceRegistry registry;
    private final RouterPublisher publisher;
    private final EngineControlClient engines;
    private final WeightsRollout rollout;
    private LeaseManager ownership;
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

    /** To be called once. */
    public void start(LeaseManager keeper) {
        ownership = keeper;
        loop.schedule(PERIOD_NANOS, this::updateInstances);
    }

    /** Whether some engine has yet to get newer weights. */
    public boolean hasWork() {
        return !rollout.isComplete();
    }

    /** A value was chosen. */
    public void onCommitted(SystemState state) {
        perform(rollout.onTargets(state.weights(), loop.nanoTime()));
        if (hasWork()) {
            ownership.wake();
        }
    }

    private void updateInstances() {
        loop.schedule(PERIOD_NANOS, this::updateInstances);
        List<Instance> live = registry.snapshot().instances().stream()
                .filter(instance -> instance.state() != InstanceState.GONE)
                .toList();
        perform(rollout.onInstances(live, loop.nanoTime()));
    }

    @Override
    public void onAcquired(long token) {
        perform(rollout.onOwnership(token, loop.nanoTime()));
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
            } else if (action instanceof RolloutAction.RequestReport ask) {
                requestReport(ask.instanceId());
            } else if (action instanceof RolloutAction.Timer next) {
                scheduleTimer(next);
            } else if (action instanceof RolloutAction.OwnershipLost) {
                loop.execute(ownership::onFenced);
            }
        }
        publisher.sendInstances();
    }

    private void sendOrder(RolloutAction.SendOrder order) {
        Optional<Instance> instance = registry.find(order.instanceId());
        if (instance.isEmpty() || !ownership.mayAct()) {
            loop.execute(() -> onResult(order, OrderResult.NO_RESPONSE));
            return;
        }
        WeightsOrder sent = new WeightsOrder(
                order.model(),
                order.version(),
                order.mode(),
                ownership.holderName(),
                order.fencingToken(),
                order.expectedSequence());
        engines.order(address(instance.get()), sent).thenAccept(result -> loop.execute(() -> onResult(order, result)));
    }

    private void onResult(RolloutAction.SendOrder order, OrderResult result) {
        Logger.info("order of {} {} to {}: {}", order.model(), order.version(), order.instanceId(), result);
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

    private void scheduleTimer(RolloutAction.Timer next) {
        if (timer != null) {
            timer.cancel();
        }
        timer = loop.schedule(
                Math.max(0, next.atNanos() - loop.nanoTime()), () -> perform(rollout.onTimer(loop.nanoTime())));
    }
}
