package burlarch.router;

import burlarch.configuration.RouteTable;
import burlarch.node.http.RequestBodyBudget;
import org.eclipse.jetty.util.thread.Scheduler;

/** What the exchanges of one router share. */
final class ForwardingContext {
    /** Most bytes that the bodies of all open requests take together. */
    private static final long MOST_BODY_BYTES = 16L << 20;

    private final SynchronizedPlanner gate;
    private final UpstreamClient client;
    private final Scheduler scheduler;
    private final RequestBodyBudget bodies = new RequestBodyBudget(MOST_BODY_BYTES);
    private final FailureLog failures = new FailureLog();
    private final StartupGate startHold;
    private final InFlightRequests openRequests = new InFlightRequests();
    private volatile RouteTable table;
    private volatile Drain drain;

    ForwardingContext(SynchronizedPlanner gate, UpstreamClient client, Scheduler scheduler) {
        this.gate = gate;
        this.client = client;
        this.scheduler = scheduler;
        this.startHold = new StartupGate(scheduler);
    }

    SynchronizedPlanner gate() {
        return gate;
    }

    UpstreamClient client() {
        return client;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    RequestBodyBudget bodies() {
        return bodies;
    }

    FailureLog failures() {
        return failures;
    }

    /** What requests pass before they are read. */
    StartupGate startHold() {
        return startHold;
    }

    /** Null until a configuration is there. */
    RouteTable table() {
        return table;
    }

    void table(RouteTable next) {
        table = next;
    }

    /** Open requests of clients. */
    InFlightRequests openRequests() {
        return openRequests;
    }

    /** From now on the drain tells what is accepted. */
    void drain(Drain begun) {
        drain = begun;
    }

    /** Whether an answer that begins now is to be the last of its connection. */
    boolean closesConnections() {
        Drain begun = drain;
        return begun != null && begun.closesConnections();
    }

    /** Whether a request that is complete now is accepted; it ends at {@code deadlineNanos} in any case. */
    boolean accepts(long deadlineNanos) {
        Drain begun = drain;
        return begun == null || begun.accepts(deadlineNanos);
    }
}
