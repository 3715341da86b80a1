package burlarch.router.forwarding;

import burlarch.configuration.RouteTable;
import burlarch.node.http.RequestMemoryBudget;
import burlarch.router.lifecycle.DrainState;
import burlarch.router.lifecycle.StartupGate;
import burlarch.router.upstream.UpstreamClient;
import org.eclipse.jetty.util.thread.Scheduler;

/** Shared state and services of all exchanges of one router. May be used on any thread. */
public final class ForwardingContext {
    /** Maximum total size of the bodies of all requests, those that are still arriving included. */
    private static final long MAX_TOTAL_BODY_BYTES = 20L << 20;
    /** Part of it that uploads leave to ordinary requests. */
    private static final long SMALL_BODIES_BYTES = 4L << 20;

    private final SynchronizedPlanner planner;
    private final UpstreamClient client;
    private final Scheduler scheduler;
    private final StartupGate startupGate;
    private final DrainState drain;
    private final CredentialValidity credentialValidity;
    private final RequestMemoryBudget bodyBudget = new RequestMemoryBudget(MAX_TOTAL_BODY_BYTES, SMALL_BODIES_BYTES);
    private final FailureLog failures = new FailureLog();
    private volatile RouteTable routeTable;

    /** Creates a context without a route table. */
    public ForwardingContext(
            SynchronizedPlanner planner,
            UpstreamClient client,
            Scheduler scheduler,
            StartupGate startupGate,
            DrainState drain,
            CredentialValidity credentialValidity) {
        this.planner = planner;
        this.client = client;
        this.scheduler = scheduler;
        this.startupGate = startupGate;
        this.drain = drain;
        this.credentialValidity = credentialValidity;
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

    /** Budget for the bodies of all requests, complete or not. */
    RequestMemoryBudget bodyBudget() {
        return bodyBudget;
    }

    FailureLog failures() {
        return failures;
    }

    /** Gate that each request passes before it is read. */
    StartupGate startupGate() {
        return startupGate;
    }

    DrainState drain() {
        return drain;
    }

    /** Decides whether API keys may be accepted at the moment. */
    CredentialValidity credentialValidity() {
        return credentialValidity;
    }

    /** The route table in force; null until a configuration is in force. */
    RouteTable routeTable() {
        return routeTable;
    }

    /** Uses a route table for all requests that are read from now on. */
    public void setRouteTable(RouteTable newTable) {
        routeTable = newTable;
    }
}
