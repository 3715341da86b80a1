package burlarch.simulation.coordination.node;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;

/**
 * Simulated messages for the calls that are HTTP requests in a real fleet. Each call is one request message and one
 * response message, either of which may be lost or duplicated.
 */
public final class CallMessages {
    private static final int OK = 200;

    private CallMessages() {}

    /** Request of an operator or instance to a controller. */
    public record ControlRequest(long id, ControlAction action) {}

    /** Response of a controller to the request with the same id. */
    public record ControlResponse(long id, int status, byte[] body) {
        /** Returns whether the call succeeded. */
        public boolean succeeded() {
            return status == OK;
        }

        /** Returns whether the call was rejected finally, so that the caller must not retry it. */
        boolean rejected() {
            return status >= 400 && status < 500;
        }
    }

    /** Request to an engine: an order, or a request for a report if {@code order} is null. */
    record EngineRequest(long id, String instance, WeightsOrder order) {
        boolean isReportRequest() {
            return order == null;
        }
    }

    /** Response of an engine: either the result of an order or a report; the other is null. */
    record EngineResponse(long id, OrderResult result, EngineReport report) {}
}
