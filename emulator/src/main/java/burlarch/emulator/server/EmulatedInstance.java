package burlarch.emulator.server;

import burlarch.emulator.model.RequestValidation;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Base class of emulated instances: an HTTP server that validates and serves requests, announces itself to controllers
 * and drains. Subclasses implement what is served.
 *
 * <p>Threads: each HTTP exchange has a thread of its own; {@link #shutDown} is called on another one.
 */
public abstract class EmulatedInstance implements AutoCloseable {
    private static final int BACKLOG = 128;
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);

    private final InstanceIdentity identity;
    private final ExecutionListener executions;
    private final HttpServer server;
    private final ExecutorService executor;
    private InstanceAnnouncer announcer;
    private volatile boolean draining;
    private volatile long noRequestsAfterNanos = Long.MAX_VALUE;

    EmulatedInstance(InstanceIdentity identity, ExecutionListener executions) throws IOException {
        this.identity = identity;
        this.executions = executions;
        this.server = HttpServer.create(new InetSocketAddress(identity.ip(), identity.port()), BACKLOG);
        this.executor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, identity.id());
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(executor);
        server.createContext("/", this::handle);
    }

    /** Returns the identity, with the configured port. */
    public InstanceIdentity identity() {
        return identity;
    }

    /** Returns the address IP:PORT with the actual port, which the system chooses if the configured one is 0. */
    public String address() {
        return identity.ip() + ":" + server.getAddress().getPort();
    }

    ExecutionListener executions() {
        return executions;
    }

    boolean isDraining() {
        return draining;
    }

    /** Starts to accept connections. */
    public void start() {
        server.start();
    }

    /** Starts to announce the instance to the controllers. */
    public void register(ControllerClient controllerClient, long heartbeatMillis) {
        announcer = new InstanceAnnouncer(identity, this::versions, controllerClient, heartbeatMillis);
        announcer.start();
    }

    /** Returns the versions of the weights by model; empty for a service without models. */
    abstract Map<String, Long> versions();

    /** Serves a request that has been validated. */
    abstract void serve(HttpExchange exchange) throws IOException, InterruptedException;

    /** Serves a call of a controller or router; returns false if this instance has no such call. */
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return false;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (path.equals("/healthz")) {
                exchange.getResponseHeaders().set("X-Instance-Id", identity.id());
                Responses.send(exchange, draining ? 503 : 200, "");
            } else if (!path.startsWith("/burlarch/") || !serveControlCall(exchange, path, body)) {
                serveRequest(exchange);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void serveRequest(HttpExchange exchange) throws IOException, InterruptedException {
        int rejectionStatus =
                RequestValidation.check(exchange.getRequestHeaders()::getFirst, identity.id(), versions());
        if (rejectionStatus != RequestValidation.ACCEPTED) {
            Responses.rejectUnexecuted(exchange, rejectionStatus);
            return;
        }
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (System.nanoTime() - noRequestsAfterNanos > 0 && noRequestsAfterNanos != Long.MAX_VALUE) {
            executions.onRequestAfterDrain(id, identity.id());
        }
        if (draining) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        serve(exchange);
    }

    /** Sets the response headers that identify the request and the instance that executed it. */
    void setSignatureHeaders(HttpExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        exchange.getResponseHeaders().set("X-Request-Id", id);
        exchange.getResponseHeaders().set("X-Response-Signature", identity.service() + "." + identity.id() + "." + id);
    }

    /**
     * Shuts down gracefully: announces that the instance drains, keeps serving for {@code drainMillis} and
     * {@code lingerMillis}, announces that it is gone, and stops.
     *
     * @return whether a controller acknowledged the drain
     */
    public boolean shutDown(long drainMillis, long lingerMillis) throws InterruptedException {
        draining = true;
        boolean acknowledged = announcer.drain();
        if (acknowledged) {
            noRequestsAfterNanos = System.nanoTime() + drainMillis * 1_000_000;
        }
        Thread.sleep(drainMillis + lingerMillis);
        announcer.leave();
        close();
        return acknowledged;
    }

    /**
     * Leaves without announcing that it drains: announces that it is gone, keeps serving for {@code drainMillis} and
     * {@code lingerMillis}, and stops.
     *
     * @return whether a controller acknowledged the leave
     */
    public boolean leaveWithoutDrain(long drainMillis, long lingerMillis) throws InterruptedException {
        boolean acknowledged = announcer.leave();
        if (acknowledged) {
            noRequestsAfterNanos = System.nanoTime() + drainMillis * 1_000_000;
        }
        Thread.sleep(drainMillis + lingerMillis);
        close();
        return acknowledged;
    }

    /**
     * Takes the instance's next heartbeat, as if it were held up on its way.
     *
     * @param controllerClient calls the controller at which it arrives
     * @return sends the heartbeat, however late
     */
    public HeldUpHeartbeat holdUpHeartbeat(ControllerClient controllerClient) {
        String body = announcer.takeHeartbeat();
        return () -> controllerClient.call("PUT", announcer.path(), body, null, HEARTBEAT_TIMEOUT);
    }

    /** A heartbeat that arrives late. */
    @FunctionalInterface
    public interface HeldUpHeartbeat {
        /** Sends the heartbeat. */
        void send() throws InterruptedException;
    }

    @Override
    public void close() {
        if (announcer != null) {
            announcer.close();
        }
        server.stop(0);
        executor.shutdownNow();
    }
}
