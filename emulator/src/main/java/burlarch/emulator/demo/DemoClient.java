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
 * A client that retries: each request is attempted at random routers, each attempt with its own id, until it is
 * served, must not be retried, or its time is over. Thread-safe; one call is one request.
 */
final class DemoClient {
    private static final int MAX_ATTEMPTS = 4;
    private static final long RETRY_DELAY_MILLIS = 60;

    private final HttpClient http;
    private final RouterProbe routers;
    private final RequestLog log;

    /**
     * A request as the client means it.
     *
     * @param idempotent whether it may run more than once
     * @param headers names and values in turn
     */
    record ClientRequest(String method, String path, boolean idempotent, boolean stream, String... headers) {}

    /** How an attempt ended. */
    private enum AttemptOutcome {
        SERVED,
        SERVED_LATE,
        NOT_EXECUTED,
        UNKNOWN,
        REFUSED
    }

    DemoClient(HttpClient http, RouterProbe routers, RequestLog log) {
        this.http = http;
        this.routers = routers;
        this.log = log;
    }

    /** Sends a request and retries it; returns when it is served or has failed. */
    void send(ClientRequest request) throws InterruptedException {
        long began = System.nanoTime();
        log.onRequest();
        for (int count = 0; count < MAX_ATTEMPTS; count++) {
            long left = DemoConfiguration.TIMEOUT_MILLIS - (System.nanoTime() - began) / 1_000_000;
            if (left <= 0) {
                break;
            }
            AttemptOutcome end = attempt(request, began, left);
            if (end == AttemptOutcome.SERVED || end == AttemptOutcome.SERVED_LATE) {
                log.onServed(end == AttemptOutcome.SERVED);
                return;
            }
            if (end == AttemptOutcome.REFUSED || end == AttemptOutcome.UNKNOWN && !request.idempotent()) {
                break;
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        log.onFailed();
    }

    private AttemptOutcome attempt(ClientRequest request, long began, long leftMillis) throws InterruptedException {
        String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + routers.any() + request.path()))
                .timeout(Duration.ofMillis(leftMillis))
                .header("Host", DemoConfiguration.HOST)
                .header("X-Request-Id", id)
                .header("X-Request-Deadline", Long.toString(leftMillis))
                .headers(request.headers())
                .method(
                        request.method(),
                        request.method().equals("GET")
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString("{}"));
        if (!request.idempotent()) {
            log.atMostOnce(id);
        }
        StreamVerifier check = new StreamVerifier();
        try {
            HttpResponse<Void> response =
                    http.send(builder.build(), HttpResponse.BodyHandlers.fromLineSubscriber(check));
            return outcomeOf(request, id, response, check, began);
        } catch (ConnectException notSent) {
            return AttemptOutcome.NOT_EXECUTED;
        } catch (IOException broken) {
            return AttemptOutcome.UNKNOWN;
        }
    }

    private AttemptOutcome outcomeOf(
            ClientRequest request, String id, HttpResponse<Void> response, StreamVerifier check, long began) {
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
        if (status != 200 || !hasSignature || request.stream() && !check.complete()) {
            return AttemptOutcome.UNKNOWN;
        }
        long responseNanos = request.stream() ? check.firstNanos() : System.nanoTime();
        return responseNanos - began <= DemoConfiguration.TARGET_LATENCY_MILLIS * 1_000_000
                ? AttemptOutcome.SERVED
                : AttemptOutcome.SERVED_LATE;
    }
}
