package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Clients that send requests at a steady rate and keep the answer to each. */
final class OpenLoopTraffic {
    private static final int THREADS = 96;

    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(THREADS, task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, FleetClient.Answer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final String idPrefix;
    private ScheduledFuture<?> sender;

    /** @param idPrefix the ids of all requests begin with it */
    OpenLoopTraffic(String idPrefix) {
        this.idPrefix = idPrefix;
    }

    /** Sends one request. */
    interface Sender {
        FleetClient.Answer send(String requestId);
    }

    /** Starts to send; the n-th request is sent by {@code senders.apply(n)}. */
    void start(int perSecond, IntFunction<Sender> senders) {
        sender = threads.scheduleAtFixedRate(
                () -> {
                    int number = sent.incrementAndGet();
                    String requestId = idPrefix + number;
                    threads.execute(() -> answers.put(requestId, senders.apply(number).send(requestId)));
                },
                0,
                1_000_000 / perSecond,
                TimeUnit.MICROSECONDS);
    }

    /** Stops to send, and waits for the answers that are due. */
    void stop(long waitMillis) throws InterruptedException {
        sender.cancel(false);
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (answers.size() < sent.get() && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(20);
        }
    }

    /** Returns the answers so far, by the ids of the requests. */
    Map<String, FleetClient.Answer> answers() {
        return answers;
    }
}
