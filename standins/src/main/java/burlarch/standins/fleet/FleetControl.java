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
 * The HTTP control server of a running fleet. {@code GET /state} returns the state of each node, one a line, and
 * {@code POST /faults} injects a fault; its body has the keys of an {@code [[at]]} table.
 */
public final class FleetControl implements AutoCloseable {
    private static final int MAX_FAULT_BYTES = 4096;

    private final HttpServer server;
    private final ExecutorService executor;

    private FleetControl(HttpServer server, ExecutorService executor) {
        this.server = server;
        this.executor = executor;
    }

    /**
     * Starts a control server.
     *
     * @param port 0 for any free port
     * @throws IOException if the address cannot be bound; the message names it
     */
    public static FleetControl start(Fleet fleet, String host, int port) throws IOException {
        HttpServer server;
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), port), 16);
        } catch (IOException e) {
            throw new IOException("control server cannot listen at " + host + ":" + port + ": " + e.getMessage(), e);
        }
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread worker = new Thread(task, "burlarch-control");
            worker.setDaemon(true);
            return worker;
        });
        server.setExecutor(executor);
        server.createContext("/state", exchange -> respond(exchange, "GET", 200, formatState(fleet)));
        server.createContext("/faults", exchange -> {
            byte[] body = exchange.getRequestBody().readNBytes(MAX_FAULT_BYTES);
            try {
                if (exchange.getRequestMethod().equals("POST")) {
                    fleet.inject(new String(body, StandardCharsets.UTF_8));
                }
                respond(exchange, "POST", 200, "done\n");
            } catch (SettingsException e) {
                respond(exchange, "POST", 400, e.getMessage() + "\n");
            }
        });
        server.start();
        return new FleetControl(server, executor);
    }

    private static void respond(HttpExchange exchange, String method, int status, String text) throws IOException {
        boolean allowed = exchange.getRequestMethod().equals(method);
        byte[] body = (allowed ? text : "use " + method + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(allowed ? status : 405, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    /** Formats the state of each node as a line of {@code name=value} pairs. */
    private static String formatState(Fleet fleet) {
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

    /** The port that the server listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdown();
    }
}
