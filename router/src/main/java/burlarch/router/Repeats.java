package burlarch.router;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.RouteRequest;

/** What a route's kind says of running a request again. */
final class Repeats {
    private Repeats() {}

    /** Whether it may run more than once. */
    static boolean mayRepeat(Route route) {
        return route.type() == RouteType.IDEMPOTENT || isResumable(route);
    }

    /** Whether another run may go on where one broke off. */
    static boolean isResumable(Route route) {
        return route.type() == RouteType.STREAMING && route.resumable();
    }

    /** The request as the planner sees it when a stream of it is taken up. */
    static RouteRequest takenUp(RouteRequest request) {
        return new RouteRequest(
                request.id(),
                request.route(),
                request.tenant(),
                request.model(),
                request.promptTokens(),
                request.maxOutputTokens(),
                request.parts(),
                true,
                request.receivedNanos(),
                request.deadlineNanos());
    }
}
