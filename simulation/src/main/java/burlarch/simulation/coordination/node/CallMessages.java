package burlarch.simulation.coordination.node;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;

/**
 * Messages of calls that are HTTP requests in a real fleet. Each call is one request message and one response message,
 * either of which may be lost or duplicated.
 */
public final class CallMessages {
    private static final int OK = 200;

    private CallMessages() {}

    /** A call to a controller. */
    public record ControlRequest(long id, ControlAction action) {}

    /** A controller's response to the call of that id. */
    public record ControlResponse(long id, int status, byte[] body) {
        /** Whether the call has succeeded. */
        public boolean succeeded() {
            return status == OK;
        }

        /** Whether the call was rejected for good, so that a caller must not send it again. */
        boolean rejected() {
            return status >= 400 && status < 500;
        }
    }

    /** A call to an engine: an order, or a request for a report where {@code order} is null. */
    record EngineRequest(long id, String instance, WeightsOrder order) {
        boolean isForReport() {
            return order == null;
        }
    }

    /** An engine's response: the result of an order or a report, the other one null. */
    record EngineResponse(long id, OrderResult result, EngineReport report) {}
}
