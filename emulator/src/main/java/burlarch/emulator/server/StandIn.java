package burlarch.emulator.server;

import burlarch.emulator.model.RequestRules;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** What all stand-ins have in common: a listening address, checks of what comes, and a life. */
public abstract class StandIn implements AutoCloseable {
    private static final int BACKLOG = 128;

    private final InstanceInfo info;
    private final RunBook book;
    private final HttpServer server;
    private final ExecutorService threads;
    private Registration registration;
    private volatile boolean draining;
    private volatile long noRequestsAfter = Long.MAX_VALUE;

    StandIn(InstanceInfo info, RunBook book) throws IOException {
        this.info = info;
        this.book = book;
        this.server = HttpServer.create(new InetSocketAddress(info.ip(), info.port()), BACKLOG);
        this.threads = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, info.id());
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", this::handle);
    }

    /** Who it is; the port is the one it listens at. */
    public InstanceInfo info() {
        return info;
    }

    /** IP:PORT, also where the system chose the port. */
    public String address() {
        return info.ip() + ":" + server.getAddress().getPort();
    }

    RunBook book() {
        return book;
    }

    boolean draining() {
        return draining;
    }

    /** Listens. */
    public void start() {
        server.start();
    }

    /** Announces itself from now on. */
    public void register(ControlCalls calls, long heartbeatMillis) {
        registration = new Registration(info, this::versions, calls, heartbeatMillis);
        registration.start();
    }

    /** Versions of weights by model. */
    abstract Map<String, Long> versions();

    abstract void serve(HttpExchange exchange) throws IOException, InterruptedException;

    /** Answers a call of the system's own; returns false where there is no such call. */
    boolean serveOwn(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return false;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/healthz")) {
                exchange.getResponseHeaders().set("X-Instance-Id", info.id());
                Answers.whole(exchange, draining ? 503 : 200, "");
            } else if (!path.startsWith("/burlarch/") || !serveOwn(exchange, path, body)) {
                request(exchange);
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(HttpExchange exchange) throws IOException, InterruptedException {
        int refusal = RequestRules.check(exchange.getRequestHeaders()::getFirst, info.id(), versions());
        if (refusal != RequestRules.RUN) {
            Answers.notExecuted(exchange, refusal);
            return;
        }
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (System.nanoTime() - noRequestsAfter > 0 && noRequestsAfter != Long.MAX_VALUE) {
            book.cameAfterDrain(id, info.id());
        }
        if (draining) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        serve(exchange);
    }

    /** Begins the head of an answer that is the stand-in's own. */
    void sign(HttpExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        exchange.getResponseHeaders().set("X-Request-Id", id);
        exchange.getResponseHeaders().set("X-Response-Signature", info.service() + "." + info.id() + "." + id);
    }

    /**
     * Leaves as planned: drains, serves on for a while, says that it is gone, and ends.
     *
     * @return whether the drain was acknowledged
     */
    public boolean leave(long drainMillis, long lingerMillis) throws InterruptedException {
        draining = true;
        boolean acknowledged = registration.drain();
        if (acknowledged) {
            noRequestsAfter = System.nanoTime() + drainMillis * 1_000_000;
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
