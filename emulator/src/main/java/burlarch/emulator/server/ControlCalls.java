package burlarch.emulator.server;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Calls to controllers: one after the other is tried until one answers for good. */
public final class ControlCalls {
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final long PAUSE_MILLIS = 100;

    private final HttpClient http;
    private final List<String> controllers;
    private int next;

    /** The answer that ended a call. */
    public record Answer(int status, String body) {
        /** Whether it acknowledges. */
        public boolean ok() {
            return status / 100 == 2;
        }
    }

    /**
     * A caller of its own.
     *
     * @param controllers addresses, IP:PORT
     * @param first which of them it begins with
     */
    public ControlCalls(HttpClient http, List<String> controllers, int first) {
        this.http = http;
        this.controllers = List.copyOf(controllers);
        this.next = Math.floorMod(first, controllers.size());
    }

    /**
     * Calls until an answer is clear: a 2xx, or a 4xx other than 408 and 429.
     *
     * @param ifMatch value of If-Match, null for none
     * @param limit for all tries together
     * @return the clear answer, or the last unclear one; status 0 where none came
     */
    public synchronized Answer call(String method, String path, String body, String ifMatch, Duration limit)
            throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        Answer last = new Answer(0, "no answer");
        while (true) {
            last = once(method, path, body, ifMatch);
            boolean clear = last.ok() || last.status() / 100 == 4 && last.status() != 408 && last.status() != 429;
            if (clear || System.nanoTime() - end > 0) {
                return last;
            }
            next = (next + 1) % controllers.size();
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private Answer once(String method, String path, String body, String ifMatch) throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + controllers.get(next) + path))
                .timeout(PATIENCE)
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
            HttpResponse<String> answer = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException failure) {
            return new Answer(0, failure.toString());
        }
    }
}
