package burlarch.review;

import burlarch.review.CaseRunner.Context;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A router gets SIGTERM while it forwards streams. The instance has the last event of each stream ready shortly before
 * the last sixth of {@code grace_s} begins, long before the deadline. Without the disruption the same streams are
 * forwarded and no signal is sent.
 *
 * <p>Judged: LOST. Around a SIGTERM, until 1 s after {@code grace_s}, the connection of a request that was passed on to
 * a proxy ends without a complete answer, although the proxy neither broke off nor was due to work in the last sixth
 * of {@code grace_s}.
 */
public final class LongStreamsAtTermination {
    private static final int STREAMS = 6;
    private static final long ROUTE_TIMEOUT_MILLIS = 15_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long STREAMING_BEFORE_SIGNAL_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 8_000;
    /** The last event of each stream: the last sixth of the grace begins 67 ms later. */
    private static final long LAST_EVENT_MILLIS = 6_600;
    private static final long LAST_SIXTH_MILLIS = GRACE_MILLIS * 5 / 6;
    private static final long EVENT_INTERVAL_MILLIS = 200;
    private static final int BODY_BYTES = 1_400;

    private final Context context;
    private final CountDownLatch streaming = new CountDownLatch(STREAMS);
    private final ConcurrentHashMap<String, Long> endOfWorkNanos = new ConcurrentHashMap<>();
    /** Time of the signal, by {@link System#nanoTime}; known once {@link #signalled} is open. */
    private volatile long signalNanos;

    private final CountDownLatch signalled = new CountDownLatch(1);

    private LongStreamsAtTermination(Context context) {
        this.context = context;
    }

    /** Runs the case; the arguments are the repository and the file of the record. */
    public static void main(String[] arguments) {
        CaseRunner.run(arguments, context -> new LongStreamsAtTermination(context).holds());
    }

    private boolean holds() throws Exception {
        Deployment deployment = context.deployment();
        deployment.start();
        try (StandInInstance instance = new StandInInstance(
                "i-desk-1",
                CaseConfiguration.SERVICE,
                context.subnet().instance(1),
                deployment,
                context.record(),
                this::stream)) {
            deployment.putConfiguration(CaseConfiguration.json(1, "streaming", ROUTE_TIMEOUT_MILLIS), 0);
            deployment.awaitReady();
            deployment.endBootstrap();
            context.record().add("instance " + instance.id() + " is registered");
            Thread.sleep(CONTACT_MILLIS);
            return playStreams();
        }
    }

    private boolean playStreams() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(STREAMS);
        List<Future<Boolean>> complete = new ArrayList<>();
        for (int number = 1; number <= STREAMS; number++) {
            String id = "stream-" + number;
            complete.add(clients.submit(() -> isComplete(id)));
        }
        streaming.await();
        Thread.sleep(STREAMING_BEFORE_SIGNAL_MILLIS);
        signalNanos = System.nanoTime();
        if (context.hasTrouble()) {
            context.deployment().routers().get(0).terminate();
        }
        signalled.countDown();
        int lost = 0;
        for (int number = 1; number <= STREAMS; number++) {
            boolean isLost = !complete.get(number - 1).get() && endedBeforeLastSixth("stream-" + number);
            lost += isLost ? 1 : 0;
        }
        clients.shutdownNow();
        context.record().add("streams lost: " + lost + " of " + STREAMS);
        return lost == 0;
    }

    private boolean endedBeforeLastSixth(String id) {
        Long endNanos = endOfWorkNanos.get(id);
        return endNanos != null && endNanos - signalNanos < TimeUnit.MILLISECONDS.toNanos(LAST_SIXTH_MILLIS);
    }

    private boolean isComplete(String id) throws IOException {
        try (ClientConnection connection = new ClientConnection(context.subnet().edge(1))) {
            connection.sendHead(
                    CaseConfiguration.HOST, CaseConfiguration.PATH + "letter", id, BODY_BYTES, ROUTE_TIMEOUT_MILLIS);
            connection.sendBytes(new byte[BODY_BYTES]);
            ClientConnection.Outcome outcome = connection.readAnswer((int) ROUTE_TIMEOUT_MILLIS);
            context.record().add("client of " + id + ": " + outcome + sinceSignal(System.nanoTime()));
            return outcome.complete();
        }
    }

    private String sinceSignal(long nowNanos) {
        return ", " + TimeUnit.NANOSECONDS.toMillis(nowNanos - signalNanos) + " ms after the signal";
    }

    /** The stand-in's work: an event at each interval, and the last one at its time after the signal. */
    private void stream(StandInInstance instance, HttpExchange exchange, String requestId) throws IOException {
        context.record().add("instance " + instance.id() + " runs " + requestId);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream body = exchange.getResponseBody()) {
            int eventId = 1;
            writeEvent(body, eventId++);
            streaming.countDown();
            while (!isDue(LAST_EVENT_MILLIS)) {
                pauseUntilNextEvent();
                writeEvent(body, eventId++);
            }
        } catch (IOException closed) {
            onEnd(requestId, "stops, its connection was closed");
            throw closed;
        }
        onEnd(requestId, "has sent the whole stream");
    }

    private void onEnd(String requestId, String how) {
        long nowNanos = System.nanoTime();
        endOfWorkNanos.put(requestId, nowNanos);
        context.record().add("instance: " + requestId + " " + how + sinceSignal(nowNanos));
    }

    private boolean isDue(long millisAfterSignal) {
        return signalled.getCount() == 0
                && System.nanoTime() - signalNanos >= TimeUnit.MILLISECONDS.toNanos(millisAfterSignal);
    }

    private void pauseUntilNextEvent() {
        try {
            long leftMillis = signalled.getCount() > 0
                    ? EVENT_INTERVAL_MILLIS
                    : LAST_EVENT_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
            Thread.sleep(Math.max(1, Math.min(EVENT_INTERVAL_MILLIS, leftMillis)));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void writeEvent(OutputStream body, int eventId) throws IOException {
        body.write(("id: " + eventId + "\ndata: piece " + eventId + "\n\n").getBytes(StandardCharsets.US_ASCII));
        body.flush();
    }
}
