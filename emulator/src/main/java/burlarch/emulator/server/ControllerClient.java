package burlarch.emulator.server;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Client of the controllers: tries one after another until one gives a final response. Calls are serialized. */
public final class ControllerClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_DELAY_MILLIS = 100;

    private final HttpClient http;
    private final List<String> controllers;
    private int nextIndex;

    /** Response that ended a call; status 0 if there was none. */
    public record Response(int status, String body) {
        /** Returns whether the status is 2xx. */
        public boolean ok() {
            return status / 100 == 2;
        }
    }

    /**
     * Creates a client of these controllers.
     *
     * @param controllers addresses in the form IP:PORT
     * @param firstIndex index of the controller to call first
     */
    public ControllerClient(HttpClient http, List<String> controllers, int firstIndex) {
        this.http = http;
        this.controllers = List.copyOf(controllers);
        this.nextIndex = Math.floorMod(firstIndex, controllers.size());
    }

    /**
     * Repeats a call until a response is final: 2xx, or 4xx other than 408 and 429.
     *
     * @param ifMatch value of the header If-Match, null for none
     * @param timeout limit for all attempts together; an attempt that has begun is completed
     * @return the final response, or the last one if the timeout expired
     */
    public synchronized Response call(String method, String path, String body, String ifMatch, Duration timeout)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        Response lastResponse = new Response(0, "no response");
        while (true) {
            lastResponse = attempt(method, path, body, ifMatch);
            boolean isFinal = lastResponse.ok()
                    || lastResponse.status() / 100 == 4 && lastResponse.status() != 408 && lastResponse.status() != 429;
            if (isFinal || System.nanoTime() - deadlineNanos > 0) {
                return lastResponse;
            }
            nextIndex = (nextIndex + 1) % controllers.size();
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
    }

    private Response attempt(String method, String path, String body, String ifMatch) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + controllers.get(nextIndex) + path))
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
        } catch (IOException exception) {
            return new Response(0, exception.toString());
        }
    }
}
