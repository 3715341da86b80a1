package burlarch.emulator.demo;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * HTTP client with retries: each request is attempted at random routers, each with an id of its own, until it is
 * served, must not be retried, or its timeout expires. Thread-safe; one call of {@link #send} is one request.
 */
final class DemoClient {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MILLIS = 60;

    private final HttpClient http;
    private final RouterProbe routerProbe;
    private final RequestLog log;

    /**
     * Request, independent of its attempts.
     *
     * @param idempotent whether it may be executed more than once
     * @param stream whether the response is an event stream
     * @param headers alternating names and values
     */
    record ClientRequest(String method, String path, boolean idempotent, boolean stream, String... headers) {}

    /** Outcome of an attempt. */
    private enum AttemptOutcome {
        SERVED,
        SERVED_LATE,
        NOT_EXECUTED,
        UNKNOWN,
        REFUSED
    }

    DemoClient(HttpClient http, RouterProbe routerProbe, RequestLog log) {
        this.http = http;
        this.routerProbe = routerProbe;
        this.log = log;
    }

    /** Sends a request, with retries if it permits them; returns when it is served or has failed. */
    void send(ClientRequest request) throws InterruptedException {
        long startNanos = System.nanoTime();
        log.onRequest();
        for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
            long remainingMillis = DemoConfiguration.TIMEOUT_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
            if (remainingMillis <= 0) {
                break;
            }
            AttemptOutcome outcome = attempt(request, startNanos, remainingMillis);
            if (outcome == AttemptOutcome.SERVED || outcome == AttemptOutcome.SERVED_LATE) {
                log.onServed(outcome == AttemptOutcome.SERVED);
                return;
            }
            if (outcome == AttemptOutcome.REFUSED || outcome == AttemptOutcome.UNKNOWN && !request.idempotent()) {
                break;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        log.onFailed();
    }

    private AttemptOutcome attempt(ClientRequest request, long startNanos, long remainingMillis)
            throws InterruptedException {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://" + routerProbe.randomAddress() + request.path()))
                .timeout(Duration.ofMillis(remainingMillis))
                .header("Host", DemoConfiguration.HOST)
                .header("X-Request-Id", id)
                .header("X-Request-Deadline", Long.toString(remainingMillis))
                .headers(request.headers())
                .method(
                        request.method(),
                        request.method().equals("GET")
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString("{}"));
        if (!request.idempotent()) {
            log.requireAtMostOnce(id);
        }
        StreamVerifier verifier = new StreamVerifier();
        try {
            HttpResponse<Void> response =
                    http.send(builder.build(), HttpResponse.BodyHandlers.fromLineSubscriber(verifier));
            return outcomeOf(request, id, response, verifier, startNanos);
        } catch (ConnectException notSent) {
            return AttemptOutcome.NOT_EXECUTED;
        } catch (IOException broken) {
            return AttemptOutcome.UNKNOWN;
        }
    }

    private AttemptOutcome outcomeOf(
            ClientRequest request, String id, HttpResponse<Void> response, StreamVerifier verifier, long startNanos) {
        int status = response.statusCode();
        if (status == 429 || status == 503 || status == 408 || status == 421) {
            log.onReportedUnexecuted(id);
            return AttemptOutcome.NOT_EXECUTED;
        }
        if (status / 100 == 4) {
            return AttemptOutcome.REFUSED;
        }
        boolean hasSignature = response.headers()
                .firstValue("X-Response-Signature")
                .filter(signature -> signature.endsWith("." + id))
                .isPresent();
        if (status != 200 || !hasSignature || request.stream() && !verifier.isComplete()) {
            return AttemptOutcome.UNKNOWN;
        }
        long responseNanos = request.stream() ? verifier.firstNanos() : System.nanoTime();
        return responseNanos - startNanos <= DemoConfiguration.TARGET_LATENCY_MILLIS * 1_000_000
                ? AttemptOutcome.SERVED
                : AttemptOutcome.SERVED_LATE;
    }
}
