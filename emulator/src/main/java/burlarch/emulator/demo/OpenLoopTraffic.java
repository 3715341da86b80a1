package burlarch.emulator.demo;

import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Open-loop clients: requests are sent at fixed rates, whether or not earlier ones have been served. */
final class OpenLoopTraffic implements AutoCloseable {
    private static final int READS_PER_SECOND = 30;
    private static final int WRITES_PER_SECOND = 10;
    private static final int TALKS_PER_SECOND = 6;
    private static final int SUBJECTS = 12;
    private static final int SHARED_TOKENS = 600;
    private static final int SUBJECT_TOKENS = 400;
    private static final int OWN_TOKENS = 50;
    private static final int OUT_TOKENS = 12;

    private final DemoClient client;
    private final Random random;
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService clients = Executors.newCachedThreadPool();

    OpenLoopTraffic(DemoClient client, long seed) {
        this.client = client;
        this.random = new Random(seed);
    }

    void start() {
        each(
                READS_PER_SECOND,
                () -> new DemoClient.ClientRequest(
                        "GET", DemoConfiguration.READ + "item", true, false, "X-Credential", key()));
        each(
                WRITES_PER_SECOND,
                () -> new DemoClient.ClientRequest(
                        "POST", DemoConfiguration.WRITE + "item", false, false, "X-Credential", key()));
        each(TALKS_PER_SECOND, this::talk);
    }

    private void each(int perSecond, Supplier<DemoClient.ClientRequest> requests) {
        clock.scheduleAtFixedRate(
                () -> {
                    DemoClient.ClientRequest request = requests.get();
                    clients.execute(() -> ask(request));
                },
                0,
                TimeUnit.SECONDS.toMicros(1) / perSecond,
                TimeUnit.MICROSECONDS);
    }

    private void ask(DemoClient.ClientRequest request) {
        try {
            client.send(request);
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private DemoClient.ClientRequest talk() {
        String segments = "a0:" + SHARED_TOKENS + ",b" + random.nextInt(SUBJECTS) + ":" + SUBJECT_TOKENS + ","
                + Long.toHexString(random.nextLong()) + ":" + OWN_TOKENS;
        return new DemoClient.ClientRequest(
                "POST",
                DemoConfiguration.TALK + "go",
                true,
                true,
                "X-Credential",
                key(),
                "X-Model",
                DemoConfiguration.MODEL,
                "X-Prefix-Hash",
                segments,
                "X-Token-Usage",
                SHARED_TOKENS + SUBJECT_TOKENS + OWN_TOKENS + "," + OUT_TOKENS);
    }

    private String key() {
        return DemoConfiguration.KEYS[random.nextInt(DemoConfiguration.KEYS.length)];
    }

    /** Stops sending, and waits for requests in flight. */
    void finish() throws InterruptedException {
        clock.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(2 * DemoConfiguration.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        clock.shutdownNow();
        clients.shutdownNow();
    }
}
