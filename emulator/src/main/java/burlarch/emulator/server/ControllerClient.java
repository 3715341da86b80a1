package burlarch.emulator.server;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Calls controllers: one after another, until one gives a final response. Calls of one client are sequential. */
public final class ControllerClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_DELAY_MILLIS = 100;

    private final HttpClient http;
    private final List<String> controllers;
    private int next;

    /** The response that ended a call. */
    public record Response(int status, String body) {
        /** Whether it acknowledges. */
        public boolean ok() {
            return status / 100 == 2;
        }
    }

    /**
     * A client of these controllers.
     *
     * @param controllers addresses, IP:PORT
     * @param first index of the one to begin with
     */
    public ControllerClient(HttpClient http, List<String> controllers, int first) {
        this.http = http;
        this.controllers = List.copyOf(controllers);
        this.next = Math.floorMod(first, controllers.size());
    }

    /**
     * Calls until a response is final: 2xx, or 4xx other than 408 and 429.
     *
     * @param ifMatch value of If-Match, null for none
     * @param limit time for all attempts together
     * @return the final response, or the last one when the time is over; status 0 if there was none
     */
    public synchronized Response call(String method, String path, String body, String ifMatch, Duration limit)
            throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        Response last = new Response(0, "no answer");
        while (true) {
            last = attempt(method, path, body, ifMatch);
            boolean clear = last.ok() || last.status() / 100 == 4 && last.status() != 408 && last.status() != 429;
            if (clear || System.nanoTime() - end > 0) {
                return last;
            }
            next = (next + 1) % controllers.size();
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private Response attempt(String method, String path, String body, String ifMatch) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + controllers.get(next) + path))
                .timeout(CALL_TIMEOUT)
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        if (body != null) {
            request.header("Content-Type", "application/json");
        }
        if (ifMatch != null) {
            request.header("If-Match", ifMatch);
        }
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException failure) {
            return new Response(0, failure.toString());
        }
    }
}
