package burlarch.emulator.server;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes whole answers. */
final class Answers {
    private Answers() {}

    static void json(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        whole(exchange, status, body);
    }

    static void whole(HttpExchange exchange, int status, String body) throws IOException {
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

    /** A promise that the request has not run and never will. */
    static void notExecuted(HttpExchange exchange, int status) throws IOException {
        exchange.getResponseHeaders().set("X-Not-Executed", "1");
        exchange.getResponseHeaders().set("Retry-After", "0.050");
        whole(exchange, status, "");
    }
}
