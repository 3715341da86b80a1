package burlarch.router.forwarding;

import burlarch.configuration.RouteTable;
import burlarch.node.http.RequestBodyBudget;
import burlarch.router.lifecycle.DrainState;
import burlarch.router.lifecycle.StartupGate;
import burlarch.router.upstream.UpstreamClient;
import org.eclipse.jetty.util.thread.Scheduler;

/** What the exchanges of one router share. May be used on any thread. */
public final class ForwardingContext {
    /** Maximum size of the bodies of all requests in flight together. */
    private static final long MAX_BODY_BYTES = 16L << 20;

    private final SynchronizedPlanner planner;
    private final UpstreamClient client;
    private final Scheduler scheduler;
    private final StartupGate startupGate;
    private final DrainState drain;
    private final CredentialValidity credentials;
    private final RequestBodyBudget bodies = new RequestBodyBudget(MAX_BODY_BYTES);
    private final FailureLog failures = new FailureLog();
    private volatile RouteTable routeTable;

    /** A context without a route table. */
    public ForwardingContext(
            SynchronizedPlanner planner,
            UpstreamClient client,
            Scheduler scheduler,
            StartupGate startupGate,
            DrainState drain,
            CredentialValidity credentials) {
        this.planner = planner;
        this.client = client;
        this.scheduler = scheduler;
        this.startupGate = startupGate;
        this.drain = drain;
        this.credentials = credentials;
    }

    SynchronizedPlanner planner() {
        return planner;
    }

    UpstreamClient client() {
        return client;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Budget for the bodies of all requests in flight. */
    RequestBodyBudget bodies() {
        return bodies;
    }

    FailureLog failures() {
        return failures;
    }

    /** What requests pass before they are read. */
    StartupGate startupGate() {
        return startupGate;
    }

    DrainState drain() {
        return drain;
    }

    /** Whether keys may be accepted at the moment. */
    CredentialValidity credentials() {
        return credentials;
    }

    /** Null until a configuration is in force. */
    RouteTable routeTable() {
        return routeTable;
    }

    /** Puts a route table into force for requests from now on. */
    public void setRouteTable(RouteTable next) {
        routeTable = next;
    }
}
