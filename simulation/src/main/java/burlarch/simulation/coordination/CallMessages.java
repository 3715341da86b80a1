package burlarch.simulation.coordination;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;

/**
 * Calls that go over HTTP outside the simulation: each a message there and one back, either of which may be
 * lost.
 */
final class CallMessages {
    private CallMessages() {}

    record ControlRequest(long id, ControlAction action) {}

    record ControlResponse(long id, int status, byte[] body) {
        boolean succeeded() {
            return status == 200;
        }

        /** Whether the caller ends the call on it. */
        boolean rejected() {
            return status >= 400 && status < 500;
        }
    }

    /** @param order null for a report */
    record EngineRequest(long id, String instance, WeightsOrder order) {}

    record EngineResponse(long id, OrderResult result, EngineReport report) {}
}
