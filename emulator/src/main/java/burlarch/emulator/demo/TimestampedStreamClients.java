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

/** Clients that read streams of timestamped events concurrently, and record the age of each event on arrival. */
final class TimestampedStreamClients {
    private static final long LONGEST_NANOS = 60_000_000_000L;
    private static final int DIGITS = 3;

    private final HttpClient http;
    private final String address;
    private final String[] headers;
    private final Histogram ages = new ConcurrentHistogram(LONGEST_NANOS, DIGITS);
    private final AtomicInteger begun = new AtomicInteger();
    private final List<CompletableFuture<HttpResponse<Void>>> responses = new ArrayList<>();
    private volatile long countFrom = Long.MAX_VALUE;
    private volatile long countTo = Long.MAX_VALUE;

    /** @param headers names and values in turn, more than all streams have */
    TimestampedStreamClients(HttpClient http, String address, String... headers) {
        this.http = http;
        this.address = address;
        this.headers = headers;
    }

    /** Opens streams of {@code events} events each. */
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
            responses.add(http.sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(new Ages())));
            Thread.sleep(2);
        }
    }

    /** Records the ages of the events that are sent within the next {@code millis}. */
    Histogram count(long millis) throws InterruptedException {
        countFrom = System.nanoTime();
        countTo = countFrom + millis * 1_000_000;
        Thread.sleep(millis);
        return ages;
    }

    /** Streams of which an event has arrived. */
    int begun() {
        return begun.get();
    }

    /** Waits until all streams have ended; returns how many ended with status 200. */
    int finish() {
        int well = 0;
        for (CompletableFuture<HttpResponse<Void>> response : responses) {
            well += response.handle((end, failure) -> end != null && end.statusCode() == 200 ? 1 : 0)
                    .join();
        }
        return well;
    }

    private final class Ages implements Flow.Subscriber<String> {
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
            long now = System.nanoTime();
            if (first) {
                first = false;
                begun.incrementAndGet();
            }
            int end = line.indexOf(' ', "data: ".length());
            long sent = Long.parseLong(line.substring("data: ".length(), end < 0 ? line.length() : end));
            if (countFrom != Long.MAX_VALUE && sent - countFrom >= 0 && sent - countTo < 0) {
                ages.recordValue(Math.min(LONGEST_NANOS, Math.max(0, now - sent)));
            }
        }

        @Override
        public void onError(Throwable failure) {
            // Reported by the response's future.
        }

        @Override
        public void onComplete() {
            // Reported by the response's future.
        }
    }
}
