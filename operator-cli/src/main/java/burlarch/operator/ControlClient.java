package burlarch.operator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/**
 * Calls controllers as an operator: one after the other, until one responds conclusively. Retries are safe, because a
 * controller acknowledges a repeated change again. Blocks the calling thread.
 */
final class ControlClient {
    private static final int MAX_ROUNDS = 4;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_DELAY_MILLIS = 200;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .followRedirects(HttpClient.Redirect.NORMAL)
            .build();
    private final List<String> controllers;

    /** A response as received. */
    record Response(int status, byte[] body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }

        /** Whether another controller, or the same one later, may respond differently. */
        private boolean isInconclusive() {
            return status >= 500 || status == 408 || status == 429;
        }
    }

    /** @param controllers control addresses HOST:PORT, in the order in which they are called */
    ControlClient(List<String> controllers) {
        this.controllers = List.copyOf(controllers);
    }

    /**
     * Sends a request until a controller responds conclusively.
     *
     * @param body null for none
     * @param ifMatch null for none
     * @throws CommandFailure if no controller responded conclusively
     */
    Response call(String method, String path, byte[] body, Long ifMatch) throws CommandFailure, InterruptedException {
        String reason = "";
        for (int round = 0; round < MAX_ROUNDS; round++) {
            for (String controller : controllers) {
                try {
                    Response answer = send(controller, method, path, body, ifMatch);
                    if (!answer.isInconclusive()) {
                        return answer;
                    }
                    reason = controller + ": " + RejectionMessages.reasons(answer.body(), "status " + answer.status());
                } catch (IOException failure) {
                    String message = failure.getMessage();
                    reason = controller + ": " + (message == null ? "no connection" : message);
                }
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        throw new CommandFailure(CommandFailure.UNCLEAR, "no clear answer; last of " + reason);
    }

    private Response send(String controller, String method, String path, byte[] body, Long ifMatch)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + controller + path))
                .timeout(REQUEST_TIMEOUT)
                .method(method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(body));
        if (body != null) {
            request.header("Content-Type", "application/json");
        }
        if (ifMatch != null) {
            request.header("If-Match", ifMatch.toString());
        }
        HttpResponse<byte[]> answer = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new Response(answer.statusCode(), answer.body());
    }
}
