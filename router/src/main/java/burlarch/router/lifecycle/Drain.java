package burlarch.router.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Graceful shutdown: takes the router out of service without losing a request, at the times of its
 * {@link DrainSchedule}. The times are counted from its construction. Polls on the scheduler's thread; queries
 * may come on any thread.
 */
public final class Drain {
    private static final long POLL_MILLIS = 20;

    private final InFlightRequests requests;
    private final ServerConnector front;
    private final Scheduler scheduler;
    private final DrainSchedule schedule;
    private final long startedNanos = System.nanoTime();
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    /** Starts to drain the requests of that connector now. */
    public Drain(InFlightRequests requests, ServerConnector front, Scheduler scheduler, DrainSchedule schedule) {
        this.requests = requests;
        this.front = front;
        this.scheduler = scheduler;
        this.schedule = schedule;
        scheduler.schedule(this::awaitRequests, schedule.rejectAtMillis(), TimeUnit.MILLISECONDS);
    }

    /** Completes when no request is in flight, or at the end of the schedule. */
    public CompletableFuture<Void> done() {
        return done;
    }

    /** Whether a response that begins now must be the last on its connection. */
    boolean closesConnections() {
        return schedule.closesConnections(elapsedMillis());
    }

    /** Whether a request that is complete now is accepted; it ends at {@code deadlineNanos} in any case. */
    boolean accepts(long deadlineNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        return schedule.accepts(elapsedMillis(), remainingMillis);
    }

    /**
     * Closes idle connections until the drain is over: a request on one of them would be rejected from now on,
     * whereas a client whose connection is closed goes to another router without losing time. A response that
     * began before the drain may leave a connection idle at any time, hence the repetition.
     */
    private void awaitRequests() {
        requests.closeIdleConnections(front.getConnectedEndPoints());
        if (requests.count() > 0 && !schedule.isOver(elapsedMillis())) {
            scheduler.schedule(this::awaitRequests, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        done.complete(null);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }
}
