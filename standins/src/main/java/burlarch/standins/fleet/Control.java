package burlarch.standins.fleet;

import burlarch.settings.SettingsException;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A small port to look at a running fleet and to let faults happen between two requests: {@code GET /state},
 * and {@code POST /faults} with the lines of a script's entry.
 */
public final class Control implements AutoCloseable {
    private static final int LARGEST_FAULT = 4096;

    private final HttpServer server;
    private final ExecutorService thread;

    private Control(HttpServer server, ExecutorService thread) {
        this.server = server;
        this.thread = thread;
    }

    /** @param port 0 for any that is free */
    public static Control start(Fleet fleet, String host, int port) throws IOException {
        HttpServer server;
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), port), 16);
        } catch (IOException e) {
            throw new IOException("the control port cannot listen at " + host + ":" + port + ": " + e.getMessage(), e);
        }
        ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
            Thread made = new Thread(task, "burlarch-control");
            made.setDaemon(true);
            return made;
        });
        server.setExecutor(thread);
        server.createContext("/state", exchange -> answer(exchange, "GET", 200, state(fleet)));
        server.createContext("/faults", exchange -> {
            byte[] body = exchange.getRequestBody().readNBytes(LARGEST_FAULT);
            try {
                if (exchange.getRequestMethod().equals("POST")) {
                    fleet.inject(new String(body, StandardCharsets.UTF_8));
                }
                answer(exchange, "POST", 200, "done\n");
            } catch (SettingsException e) {
                answer(exchange, "POST", 400, e.getMessage() + "\n");
            }
        });
        server.start();
        return new Control(server, thread);
    }

    private static void answer(HttpExchange exchange, String method, int status, String text) throws IOException {
        boolean allowed = exchange.getRequestMethod().equals(method);
        byte[] body = (allowed ? text : "use " + method + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(allowed ? status : 405, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static String state(Fleet fleet) {
        StringBuilder text = new StringBuilder();
        for (Map<String, Object> node : fleet.state()) {
            StringBuilder line = new StringBuilder();
            node.forEach((name, value) -> line.append(line.length() == 0 ? "" : " ")
                    .append(name)
                    .append('=')
                    .append(value.toString().replace(' ', '+')));
            text.append(line).append('\n');
        }
        return text.toString();
    }

    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        thread.shutdown();
    }
}
