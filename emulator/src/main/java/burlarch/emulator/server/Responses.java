package burlarch.emulator.server;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Sends complete responses. */
final class Responses {
    private Responses() {}

    static void sendJson(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        send(exchange, status, body);
    }

    static void send(HttpExchange exchange, int status, String body) throws IOException {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (id != null) {
            exchange.getResponseHeaders().set("X-Request-Id", id);
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    /** Rejects the request, and states that it was not executed and never will be. */
    static void rejectUnexecuted(HttpExchange exchange, int status) throws IOException {
        exchange.getResponseHeaders().set("X-Not-Executed", "1");
        exchange.getResponseHeaders().set("Retry-After", "0.050");
        send(exchange, status, "");
    }
}
