package burlarch.fleet.router;

import burlarch.configuration.RouteTable;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.Scheduler;

/** What the exchanges of one router share. */
final class RouterContext {
    private final PlannerGate gate;
    private final EngineClient client;
    private final Scheduler scheduler;
    private final BodyBudget bodies = new BodyBudget();
    private final FailureLog failures = new FailureLog();
    private final StartHold startHold;
    private final AtomicInteger open = new AtomicInteger();
    private volatile RouteTable table;
    private volatile boolean lastAnswers;
    private volatile boolean refusing;

    RouterContext(PlannerGate gate, EngineClient client, Scheduler scheduler) {
        this.gate = gate;
        this.client = client;
        this.scheduler = scheduler;
        this.startHold = new StartHold(scheduler);
    }

    PlannerGate gate() {
        return gate;
    }

    EngineClient client() {
        return client;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    BodyBudget bodies() {
        return bodies;
    }

    FailureLog failures() {
        return failures;
    }

    /** What requests pass before they are read. */
    StartHold startHold() {
        return startHold;
    }

    /** Null until a configuration is there. */
    RouteTable table() {
        return table;
    }

    void table(RouteTable next) {
        table = next;
    }

    /** Whether each answer is to be the last on its connection. */
    boolean lastAnswers() {
        return lastAnswers;
    }

    void beginLastAnswers() {
        lastAnswers = true;
    }

    /** Whether no request is taken any more. */
    boolean refusing() {
        return refusing;
    }

    void beginRefusing() {
        refusing = true;
    }

    void opened() {
        open.incrementAndGet();
    }

    void ended() {
        open.decrementAndGet();
    }

    /** Requests that have no whole answer yet. */
    int open() {
        return open.get();
    }
}
