package burlarch.router;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/** Takes the router out of service without losing a request, at the times of its {@link DrainSchedule}. */
final class Drain {
    private static final long POLL_MILLIS = 20;

    private final InFlightRequests requests;
    private final ServerConnector front;
    private final Scheduler scheduler;
    private final DrainSchedule schedule;
    private final long beganNanos = System.nanoTime();
    private final CompletableFuture<Void> done = new CompletableFuture<>();

    /** A drain that begins now. */
    Drain(InFlightRequests requests, ServerConnector front, Scheduler scheduler, DrainSchedule schedule) {
        this.requests = requests;
        this.front = front;
        this.scheduler = scheduler;
        this.schedule = schedule;
        scheduler.schedule(this::awaitRequests, schedule.rejectAtMillis(), TimeUnit.MILLISECONDS);
    }

    /** Done when no request is open, or when the time for them is over. */
    CompletableFuture<Void> done() {
        return done;
    }

    /** Whether an answer that begins now is to be the last of its connection. */
    boolean closesConnections() {
        return schedule.closesConnections(elapsedMillis());
    }

    /** Whether a request that is complete now is accepted; it ends at {@code deadlineNanos} in any case. */
    boolean accepts(long deadlineNanos) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        return schedule.accepts(elapsedMillis(), remaining);
    }

    /**
     * A client that used a resting connection from now on would be refused; where it is closed it goes
     * elsewhere without losing time. An answer that began before the drain may leave one at rest at any time.
     */
    private void awaitRequests() {
        requests.closeResting(front.getConnectedEndPoints());
        if (requests.count() > 0 && !schedule.isOver(elapsedMillis())) {
            scheduler.schedule(this::awaitRequests, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        done.complete(null);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
    }
}
