package burlarch.simulation.coordination;

import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.CallMessages.ControlRequest;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.simulation.coordination.node.ControlAction;
import java.util.ArrayList;
import java.util.List;

/** Simulated node that sends calls to given controllers and records the responses. */
final class ScriptedCaller implements SimulatedNode {
    /** One call. Until the response arrives, {@code status} is 0 and {@code respondedAt} is -1. */
    static final class Call {
        private final ControlAction action;
        private final long sentAt;
        private int status;
        private long respondedAt = -1;

        private Call(ControlAction action, long sentAt) {
            this.action = action;
            this.sentAt = sentAt;
        }

        ControlAction action() {
            return action;
        }

        long sentAt() {
            return sentAt;
        }

        int status() {
            return status;
        }

        long tookNanos() {
            return respondedAt - sentAt;
        }

        @Override
        public String toString() {
            return action.getClass().getSimpleName() + " at " + sentAt / Simulation.MILLISECOND + " ms: " + status
                    + " after " + tookNanos() / Simulation.MILLISECOND + " ms";
        }
    }

    private final NodeContext context;
    private final Simulation simulation;
    private final List<Call> calls = new ArrayList<>();

    ScriptedCaller(NodeContext context, Simulation simulation) {
        this.context = context;
        this.simulation = simulation;
    }

    Call call(String controller, ControlAction action) {
        Call call = new Call(action, simulation.now());
        calls.add(call);
        context.send(controller, new ControlRequest(context.incarnation() + calls.size(), action));
        return call;
    }

    /** Returns all calls in the order in which they were sent. */
    List<Call> calls() {
        return calls;
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        if (message instanceof ControlResponse response) {
            Call call = calls.get((int) (response.id() - context.incarnation()) - 1);
            call.status = response.status();
            call.respondedAt = simulation.now();
        }
    }

    @Override
    public void start(long now) {
        // The test makes the calls.
    }

    @Override
    public void onTimer(long now) {
        // Sets no timers.
    }
}
