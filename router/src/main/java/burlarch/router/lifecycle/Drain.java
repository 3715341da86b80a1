package burlarch.router.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;

/**
 * Graceful shutdown of a router: takes it out of service without losing a request, at the times of a
 * {@link DrainSchedule}, which start with the construction of the drain. Polls on the scheduler's thread; the query
 * methods may be called on any thread.
 */
public final class Drain {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final InFlightRequests requests;
    private final ServerConnector clientConnector;
    private final Scheduler scheduler;
    private final DrainSchedule schedule;
    private final long startedAtNanos = System.nanoTime();
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    /** Starts to drain the requests of the given connector now. */
    public Drain(
            InFlightRequests requests, ServerConnector clientConnector, Scheduler scheduler, DrainSchedule schedule) {
        this.requests = requests;
        this.clientConnector = clientConnector;
        this.scheduler = scheduler;
        this.schedule = schedule;
        scheduler.schedule(this::closeIdleAndAwaitRequests, schedule.rejectAtMillis(), TimeUnit.MILLISECONDS);
    }

    /** Completes when no request is in flight, or at the end of the schedule. */
    public CompletableFuture<Void> done() {
        return done;
    }

    /** Whether a response that begins now must be the last one on its connection. */
    boolean closesConnections() {
        return schedule.closesConnections(elapsedMillis());
    }

    /** Whether a request that is complete now is accepted; it ends at {@code deadlineNanos} at the latest. */
    boolean accepts(long deadlineNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        return schedule.accepts(elapsedMillis(), remainingMillis);
    }

    /**
     * Closes idle connections until the drain is over: a request on one of them would be rejected from now on,
     * whereas a client whose connection is closed turns to another router without delay. The check is repeated
     * because a response that began before the drain may leave a connection idle at any time.
     */
    private void closeIdleAndAwaitRequests() {
        requests.closeIdleConnections(clientConnector.getConnectedEndPoints());
        if (requests.count() > 0 && !schedule.isOver(elapsedMillis())) {
            scheduler.schedule(this::closeIdleAndAwaitRequests, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        Logger.info("drain over: elapsedMillis={} requestsEnded={}", elapsedMillis(), requests.count());
        done.complete(null);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }
}
