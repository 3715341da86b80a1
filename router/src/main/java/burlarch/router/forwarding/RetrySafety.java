package burlarch.router.forwarding;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;

/** Whether a route allows its requests to be executed more than once. */
enum RetrySafety {
    /** A request may be sent again although an earlier send may have been executed. */
    RETRYABLE,
    /** A request may be sent again only if no earlier send may have been executed. */
    NOT_RETRYABLE;

    static RetrySafety of(Route route) {
        return route.type() == RouteType.IDEMPOTENT || isResumable(route) ? RETRYABLE : NOT_RETRYABLE;
    }

    /** Whether another attempt may continue an event stream that broke off. */
    static boolean isResumable(Route route) {
        return route.type() == RouteType.STREAMING && route.resumable();
    }
}
