package burlarch.emulator.demo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Clients that read streams of timestamped events concurrently and record the age of each event on arrival. */
final class TimestampedStreamClients {
    private static final long MAX_AGE_NANOS = 60_000_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;

    private final HttpClient http;
    private final String address;
    private final String[] headers;
    private final Histogram ages = new ConcurrentHistogram(MAX_AGE_NANOS, HISTOGRAM_DIGITS);
    private final AtomicInteger started = new AtomicInteger();
    private final List<CompletableFuture<HttpResponse<Void>>> responses = new ArrayList<>();
    private volatile long recordFromNanos = Long.MAX_VALUE;
    private volatile long recordToNanos = Long.MAX_VALUE;

    /** @param headers alternating names and values of additional request headers */
    TimestampedStreamClients(HttpClient http, String address, String... headers) {
        this.http = http;
        this.address = address;
        this.headers = headers;
    }

    /** Opens {@code streams} streams of {@code events} events each. */
    void open(int streams, int events, int deadlineMillis) throws InterruptedException {
        for (int i = 0; i < streams; i++) {
            String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + address + DemoConfiguration.TALK + "bench"))
                    .header("Host", DemoConfiguration.HOST)
                    .header("X-Request-Id", id)
                    .header("X-Request-Deadline", Integer.toString(deadlineMillis))
                    .header("X-Model", DemoConfiguration.MODEL)
                    .header("X-Token-Usage", "50," + events)
                    .header("X-Prefix-Hash", String.format(Locale.ROOT, "%08x:50", i))
                    .headers(headers)
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build();
            responses.add(http.sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(new AgeRecorder())));
            Thread.sleep(2);
        }
    }

    /** Records the ages of the events that are sent in the next {@code millis} milliseconds; returns all ages in ns. */
    Histogram recordAges(long millis) throws InterruptedException {
        recordFromNanos = System.nanoTime();
        recordToNanos = recordFromNanos + millis * 1_000_000;
        Thread.sleep(millis);
        return ages;
    }

    /** Returns the number of streams of which an event has arrived. */
    int started() {
        return started.get();
    }

    /** Waits until all streams have ended; returns how many ended with status 200. */
    int finish() {
        int completed = 0;
        for (CompletableFuture<HttpResponse<Void>> response : responses) {
            completed += response.handle((result, failure) -> result != null && result.statusCode() == 200 ? 1 : 0)
                    .join();
        }
        return completed;
    }

    /** Records the age of each event of one stream. */
    private final class AgeRecorder implements Flow.Subscriber<String> {
        private boolean first = true;

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            if (!line.startsWith("data: ")) {
                return;
            }
            long nowNanos = System.nanoTime();
            if (first) {
                first = false;
                started.incrementAndGet();
            }
            int end = line.indexOf(' ', "data: ".length());
            long sentNanos = Long.parseLong(line.substring("data: ".length(), end < 0 ? line.length() : end));
            if (recordFromNanos != Long.MAX_VALUE
                    && sentNanos - recordFromNanos >= 0
                    && sentNanos - recordToNanos < 0) {
                ages.recordValue(Math.min(MAX_AGE_NANOS, Math.max(0, nowNanos - sentNanos)));
            }
        }

        @Override
        public void onError(Throwable failure) {
            // Reported by the future of the response.
        }

        @Override
        public void onComplete() {
            // Reported by the future of the response.
        }
    }
}
