package burlarch.emulator.server;

import burlarch.emulator.model.RequestValidation;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An emulated instance: an HTTP server that validates and serves requests, announces itself to controllers and
 * drains. Subclasses implement what is served.
 *
 * <p>Threads: each HTTP exchange has a thread of its own; {@link #shutDown} is called on any other.
 */
public abstract class EmulatedInstance implements AutoCloseable {
    private static final int BACKLOG = 128;

    private final InstanceIdentity info;
    private final ExecutionListener executions;
    private final HttpServer server;
    private final ExecutorService threads;
    private InstanceAnnouncer registration;
    private volatile boolean draining;
    private volatile long noRequestsAfterNanos = Long.MAX_VALUE;

    EmulatedInstance(InstanceIdentity info, ExecutionListener executions) throws IOException {
        this.info = info;
        this.executions = executions;
        this.server = HttpServer.create(new InetSocketAddress(info.ip(), info.port()), BACKLOG);
        this.threads = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, info.id());
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", this::handle);
    }

    /** Its identity, with the configured port. */
    public InstanceIdentity info() {
        return info;
    }

    /** IP:PORT, also where the system chose the port. */
    public String address() {
        return info.ip() + ":" + server.getAddress().getPort();
    }

    ExecutionListener executions() {
        return executions;
    }

    boolean isDraining() {
        return draining;
    }

    /** Begins to listen. */
    public void start() {
        server.start();
    }

    /** Begins to announce itself to the controllers. */
    public void register(ControllerClient calls, long heartbeatMillis) {
        registration = new InstanceAnnouncer(info, this::versions, calls, heartbeatMillis);
        registration.start();
    }

    /** Versions of weights by model. */
    abstract Map<String, Long> versions();

    abstract void serve(HttpExchange exchange) throws IOException, InterruptedException;

    /** Serves a call of a controller or router; false where there is no such call. */
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return false;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/healthz")) {
                exchange.getResponseHeaders().set("X-Instance-Id", info.id());
                Responses.send(exchange, draining ? 503 : 200, "");
            } else if (!path.startsWith("/burlarch/") || !serveControlCall(exchange, path, body)) {
                serveRequest(exchange);
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequest(HttpExchange exchange) throws IOException, InterruptedException {
        int refusal = RequestValidation.check(exchange.getRequestHeaders()::getFirst, info.id(), versions());
        if (refusal != RequestValidation.ACCEPTED) {
            Responses.rejectUnexecuted(exchange, refusal);
            return;
        }
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (System.nanoTime() - noRequestsAfterNanos > 0 && noRequestsAfterNanos != Long.MAX_VALUE) {
            executions.onRequestAfterDrain(id, info.id());
        }
        if (draining) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        serve(exchange);
    }

    /** Sets the headers that prove which instance produced the response. */
    void sign(HttpExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        exchange.getResponseHeaders().set("X-Request-Id", id);
        exchange.getResponseHeaders().set("X-Response-Signature", info.service() + "." + info.id() + "." + id);
    }

    /**
     * Shuts down gracefully: announces that it drains, serves on for a while, announces that it is gone, and stops.
     *
     * @return whether the drain was acknowledged
     */
    public boolean shutDown(long drainMillis, long lingerMillis) throws InterruptedException {
        draining = true;
        boolean acknowledged = registration.drain();
        if (acknowledged) {
            noRequestsAfterNanos = System.nanoTime() + drainMillis * 1_000_000;
        }
        Thread.sleep(drainMillis + lingerMillis);
        registration.leave();
        close();
        return acknowledged;
    }

    @Override
    public void close() {
        if (registration != null) {
            registration.close();
        }
        server.stop(0);
        threads.shutdownNow();
    }
}
