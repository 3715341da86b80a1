package burlarch.router.lifecycle;

import burlarch.node.http.ConnectorShutdown;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;

/**
 * Graceful shutdown of a router: takes it out of service without losing a request, at the times of a
 * {@link DrainSchedule}, which start with the construction of the drain. Polls on the scheduler's thread; the query
 * methods may be called on any thread.
 *
 * <table>
 * <caption>Transitions; the end of the schedule leads from every phase to OVER</caption>
 * <tr><th>phase</th><th>left when</th><th>next phase</th></tr>
 * <tr><td>LISTENING</td><td>no request is in flight at a poll after {@code rejectAtMillis}</td>
 *     <td>LISTENER_CLOSED</td></tr>
 * <tr><td>LISTENER_CLOSED</td><td>no request is in flight and clients have had time for a first request</td>
 *     <td>OVER</td></tr>
 * <tr><td>OVER</td><td>never; no request is forwarded any more</td><td></td></tr>
 * </table>
 */
public final class Drain {
    private static final long POLL_INTERVAL_MILLIS = 20;
    /** Time in which a client sends its first request on a connection that was accepted before the listener closed. */
    private static final long FIRST_REQUEST_WAIT_MILLIS = 100;

    private enum Phase {
        /** New connections are accepted. */
        LISTENING,
        /** New connections are refused; requests on open connections are handled as before. */
        LISTENER_CLOSED,
        /** No request is forwarded any more. */
        OVER
    }

    private final InFlightRequests requests;
    private final ServerConnector clientConnector;
    private final Scheduler scheduler;
    private final DrainSchedule schedule;
    private final long startedAtNanos = System.nanoTime();
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    /** Used by the scheduler's thread only. */
    private Phase phase = Phase.LISTENING;
    /** When the listener was closed; valid in {@link Phase#LISTENER_CLOSED}. */
    private long listenerClosedAtMillis;

    /** Starts to drain the requests of the given connector now. */
    public Drain(
            InFlightRequests requests, ServerConnector clientConnector, Scheduler scheduler, DrainSchedule schedule) {
        this.requests = requests;
        this.clientConnector = clientConnector;
        this.scheduler = scheduler;
        this.schedule = schedule;
        scheduler.schedule(this::poll, schedule.rejectAtMillis(), TimeUnit.MILLISECONDS);
    }

    /** Completes when no request is in flight, or at the end of the schedule; no request is forwarded after that. */
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
        return !isOver() && schedule.accepts(elapsedMillis(), remainingMillis);
    }

    /** Whether no request may be sent to an instance any more. */
    boolean isOver() {
        return requests.isClosed();
    }

    /**
     * Closes idle connections until the drain is over: a request on one of them would be rejected from now on,
     * whereas a client whose connection is closed turns to another router without delay. The check is repeated
     * because a response that began before the drain may leave a connection idle at any time.
     */
    private void poll() {
        requests.closeIdleConnections(clientConnector.getConnectedEndPoints());
        advance(elapsedMillis());
        if (phase != Phase.OVER) {
            scheduler.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        Logger.info("drain over: elapsedMillis={} requestsEnded={}", elapsedMillis(), requests.count());
        done.complete(null);
    }

    private void advance(long nowMillis) {
        if (schedule.isOver(nowMillis)) {
            closeListener(nowMillis);
            requests.close();
            phase = Phase.OVER;
        } else if (phase == Phase.LISTENING && requests.count() == 0) {
            closeListener(nowMillis);
        } else if (phase == Phase.LISTENER_CLOSED
                && nowMillis - listenerClosedAtMillis >= FIRST_REQUEST_WAIT_MILLIS
                && requests.closeIfEmpty()) {
            phase = Phase.OVER;
        }
    }

    private void closeListener(long nowMillis) {
        if (phase == Phase.LISTENING) {
            ConnectorShutdown.stopListening(clientConnector);
            listenerClosedAtMillis = nowMillis;
            phase = Phase.LISTENER_CLOSED;
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    }
}
