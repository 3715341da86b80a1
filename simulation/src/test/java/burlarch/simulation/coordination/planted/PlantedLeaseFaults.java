package burlarch.simulation.coordination.planted;

import burlarch.controller.ControllerRuntime;
import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.EngineAddress;
import burlarch.engine.EngineControlClient;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.NodeContext;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.transport.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Component overrides that each plant one fault in a lease holder. */
final class PlantedLeaseFaults {
    private PlantedLeaseFaults() {}

    /** A new holder waits for only a tenth of the former holder's lease. */
    static final class ShortenedLeaseWait implements ComponentOverrides {
        private static final int DIVISOR = 10;

        @Override
        public long leaseNanos(String machine, long real) {
            return real / DIVISOR;
        }
    }

    /** Controllers disagree on the lease duration: some use 20 times and others a tenth of the real one. */
    static final class DifferentLeaseDurations implements ComponentOverrides {
        private static final int FACTOR = 20;
        private static final int DIVISOR = 10;

        @Override
        public long leaseNanos(String machine, long real) {
            return machine.hashCode() % 2 == 0 ? FACTOR * real : real / DIVISOR;
        }
    }

    /** The controller measures leases by the wall clock in place of the monotonic clock. */
    static final class LeaseByWallClock implements ComponentOverrides {
        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(new EventLoop() {
                @Override
                public long nanoTime() {
                    return TimeUnit.MILLISECONDS.toNanos(context.wallClockMillis());
                }

                @Override
                public void execute(Runnable task) {
                    loop.execute(task);
                }

                @Override
                public Timer schedule(long delayNanos, Runnable task) {
                    return loop.schedule(delayNanos, task);
                }
            });
        }
    }

    /** Intercepts the weights orders sent to engines. */
    private abstract static class RewritesOrders implements ComponentOverrides {
        @Override
        public EngineControlClient engineOrders(EngineControlClient real) {
            return new EngineControlClient() {
                @Override
                public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
                    return real.report(target);
                }

                @Override
                public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
                    return send(real, target, order);
                }
            };
        }

        abstract CompletableFuture<OrderResult> send(
                EngineControlClient real, EngineAddress target, WeightsOrder order);
    }

    /** Each weights order is sent twice. */
    static final class SendsOrdersTwice extends RewritesOrders {
        @Override
        CompletableFuture<OrderResult> send(EngineControlClient real, EngineAddress target, WeightsOrder order) {
            real.order(target, order);
            return real.order(target, order);
        }
    }

    /** Weights orders do not state how many orders the engine has accepted before. */
    static final class OrdersAnyRevision extends RewritesOrders {
        @Override
        CompletableFuture<OrderResult> send(EngineControlClient real, EngineAddress target, WeightsOrder order) {
            return real.order(
                    target,
                    new WeightsOrder(
                            order.model(),
                            order.version(),
                            order.mode(),
                            order.holder(),
                            order.fenceToken(),
                            WeightsOrder.ANY_REVISION));
        }
    }

    /** All holders use the same fencing token. */
    static final class ConstantFencingToken extends RewritesOrders {
        @Override
        CompletableFuture<OrderResult> send(EngineControlClient real, EngineAddress target, WeightsOrder order) {
            return real.order(
                    target,
                    new WeightsOrder(
                            order.model(), order.version(), order.mode(), order.holder(), 1, order.ifRevision()));
        }
    }
}
