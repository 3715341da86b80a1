package review;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The trouble of one server that sends a few of its answers a second time, a little late ({@code garble}, {@code extra
 * late}). It acts for {@link #DURATION_MILLIS} after {@link #begin} and never doubles more than {@link #SHARE} of the
 * answers that the server has given in that time.
 */
final class SurplusAnswers {
    static final double SHARE = 0.03;
    static final long DURATION_MILLIS = 5000;
    private static final long LATE_MILLIS = 15;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "surplus");
        thread.setDaemon(true);
        return thread;
    });
    private boolean active;
    private long endNanos;
    private int answers;
    private int doubled;

    /** Begins the trouble. */
    synchronized void begin() {
        active = true;
        endNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
        answers = 0;
        doubled = 0;
    }

    private boolean isActive() {
        return active && System.nanoTime() - endNanos < 0;
    }

    /** Counts an answer that is sent once. */
    synchronized void onAnswer() {
        if (isActive()) {
            answers++;
        }
    }

    /** Counts a rejection, and sends it a second time if the share allows it. */
    synchronized void onRejection(
            ServerStandIn server, String requestId, String answer, ServerStandIn.Connection connection) {
        if (!isActive()) {
            return;
        }
        answers++;
        if (doubled + 1 <= SHARE * answers) {
            doubled++;
            server.record().add(
                    "server %s will send its answer to request %s twice: %d of %d answers",
                    server.id(), requestId, doubled, answers);
            timer.schedule(() -> sendAgain(answer, connection), LATE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static void sendAgain(String answer, ServerStandIn.Connection connection) {
        try {
            connection.send(answer);
        } catch (IOException closed) {
            // The router has closed the connection.
        }
    }
}
