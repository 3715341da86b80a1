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
 * An HTTP client of the controllers' operator API. It calls one controller after the other until one responds
 * conclusively. Retries are safe, because a controller acknowledges a repeated change again. Calls block the calling
 * thread.
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

    /** Status and body of a response. */
    record Response(int status, byte[] body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }

        /** Returns whether another controller, or the same one later, may respond differently. */
        private boolean isInconclusive() {
            return status >= 500 || status == 408 || status == 429;
        }
    }

    /**
     * Creates a client.
     *
     * @param controllers control addresses as HOST:PORT, in the order in which they are called
     */
    ControlClient(List<String> controllers) {
        this.controllers = List.copyOf(controllers);
    }

    /**
     * Sends a request until a controller responds conclusively.
     *
     * @param body the JSON body, null for none
     * @param ifMatch the expected version in force, null to send no If-Match header
     * @throws CommandException if no controller responds conclusively in any round
     */
    Response call(String method, String path, byte[] body, Long ifMatch) throws CommandException, InterruptedException {
        String lastFailure = "";
        for (int round = 0; round < MAX_ROUNDS; round++) {
            for (String controller : controllers) {
                try {
                    Response response = send(controller, method, path, body, ifMatch);
                    if (!response.isInconclusive()) {
                        return response;
                    }
                    lastFailure = controller + ": "
                            + RejectionMessages.reasons(response.body(), "status " + response.status());
                } catch (IOException e) {
                    String message = e.getMessage();
                    lastFailure = controller + ": " + (message == null ? "connection failed" : message);
                }
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        throw new CommandException(
                CommandException.OUTCOME_UNKNOWN,
                "no controller responded conclusively; last response or error: " + lastFailure);
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
        HttpResponse<byte[]> response = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), response.body());
    }
}
