package burlarch.emulator.server;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Helper methods that send complete HTTP responses. */
final class Responses {
    private Responses() {}

    static void sendJson(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        send(exchange, status, body);
    }

    /** Sends a response and repeats the request id in it, if the request has one. */
    static void send(HttpExchange exchange, int status, String body) throws IOException {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (id != null) {
            exchange.getResponseHeaders().set("X-Request-Id", id);
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }

    /** Rejects a request and states in the response that it was not executed and will not be. */
    static void rejectUnexecuted(HttpExchange exchange, int status) throws IOException {
        exchange.getResponseHeaders().set("X-Not-Executed", "1");
        exchange.getResponseHeaders().set("Retry-After", "0.050");
        send(exchange, status, "");
    }
}
