package burlarch.fleet.router;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Leaves service without losing a request: serves on while the platform notices, then makes each answer the
 * last of its connection, then waits for what is open. Kept connections close at the very end, as a client
 * may be sending on one just now.
 */
final class Drain {
    private static final long POLL_MILLIS = 20;
    private static final long MOST_SERVING_MILLIS = 2500;
    private static final double SERVING_SHARE = 0.35;
    private static final double LISTENING_SHARE = 0.65;
    private static final double WHOLE_SHARE = 0.78;

    private final RouterContext context;
    private final ServerConnector front;
    private final Scheduler scheduler;
    private final long graceMillis;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private long beganNanos;

    Drain(RouterContext context, ServerConnector front, Scheduler scheduler, long graceMillis) {
        this.context = context;
        this.front = front;
        this.scheduler = scheduler;
        this.graceMillis = graceMillis;
    }

    CompletableFuture<Void> begin() {
        beganNanos = System.nanoTime();
        long serving = Math.min(MOST_SERVING_MILLIS, (long) (graceMillis * SERVING_SHARE));
        scheduler.schedule(this::closeConnections, serving, TimeUnit.MILLISECONDS);
        return done;
    }

    private void closeConnections() {
        context.beginLastAnswers();
        awaitClients();
    }

    private void awaitClients() {
        boolean empty = context.open() == 0 && front.getConnectedEndPoints().isEmpty();
        if (!empty && elapsedMillis() < graceMillis * LISTENING_SHARE) {
            scheduler.schedule(this::awaitClients, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        context.beginRefusing();
        awaitRequests();
    }

    private void awaitRequests() {
        if (context.open() > 0 && elapsedMillis() < graceMillis * WHOLE_SHARE) {
            scheduler.schedule(this::awaitRequests, POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        done.complete(null);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
    }
}
