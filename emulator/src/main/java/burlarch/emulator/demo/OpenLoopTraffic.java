package burlarch.emulator.demo;

import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Open-loop load generator: sends requests at fixed rates, whether or not earlier ones have been served. */
final class OpenLoopTraffic implements AutoCloseable {
    private static final int READS_PER_SECOND = 30;
    private static final int WRITES_PER_SECOND = 10;
    private static final int STREAMS_PER_SECOND = 6;
    private static final int SUBJECTS = 12;
    private static final int SHARED_TOKENS = 600;
    private static final int SUBJECT_TOKENS = 400;
    private static final int UNIQUE_TOKENS = 50;
    private static final int OUTPUT_TOKENS = 12;

    private final DemoClient client;
    private final Random random;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService executor = Executors.newCachedThreadPool();

    OpenLoopTraffic(DemoClient client, long seed) {
        this.client = client;
        this.random = new Random(seed);
    }

    void start() {
        scheduleAtRate(
                READS_PER_SECOND,
                () -> new DemoClient.ClientRequest(
                        "GET", DemoConfiguration.READ + "item", true, false, "X-Credential", randomKey()));
        scheduleAtRate(
                WRITES_PER_SECOND,
                () -> new DemoClient.ClientRequest(
                        "POST", DemoConfiguration.WRITE + "item", false, false, "X-Credential", randomKey()));
        scheduleAtRate(STREAMS_PER_SECOND, this::nextStreamRequest);
    }

    private void scheduleAtRate(int perSecond, Supplier<DemoClient.ClientRequest> requests) {
        scheduler.scheduleAtFixedRate(
                () -> {
                    DemoClient.ClientRequest request = requests.get();
                    executor.execute(() -> sendRequest(request));
                },
                0,
                TimeUnit.SECONDS.toMicros(1) / perSecond,
                TimeUnit.MICROSECONDS);
    }

    private void sendRequest(DemoClient.ClientRequest request) {
        try {
            client.send(request);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private DemoClient.ClientRequest nextStreamRequest() {
        String segments = "a0:" + SHARED_TOKENS + ",b" + random.nextInt(SUBJECTS) + ":" + SUBJECT_TOKENS + ","
                + Long.toHexString(random.nextLong()) + ":" + UNIQUE_TOKENS;
        return new DemoClient.ClientRequest(
                "POST",
                DemoConfiguration.TALK + "go",
                true,
                true,
                "X-Credential",
                randomKey(),
                "X-Model",
                DemoConfiguration.MODEL,
                "X-Prefix-Hash",
                segments,
                "X-Token-Usage",
                SHARED_TOKENS + SUBJECT_TOKENS + UNIQUE_TOKENS + "," + OUTPUT_TOKENS);
    }

    private String randomKey() {
        return DemoConfiguration.KEYS[random.nextInt(DemoConfiguration.KEYS.length)];
    }

    /** Stops sending, and waits for the requests in flight. */
    void finish() throws InterruptedException {
        scheduler.shutdownNow();
        executor.shutdown();
        executor.awaitTermination(2 * DemoConfiguration.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        executor.shutdownNow();
    }
}
