package burlarch.review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for one instance of a plain service. It announces itself at the controllers about every
 * {@link #HEARTBEAT_MILLIS}, answers its health check, and passes each request to a {@link Service}. A request that is
 * meant for another instance gets 421 and isn't run.
 */
final class StandInInstance implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_200;

    private static final int THREADS = 64;
    private static final int CAPACITY = 6;

    /** Runs one request and writes its answer. */
    interface Service {
        void run(StandInInstance instance, HttpExchange exchange, String requestId) throws IOException;
    }

    private final String id;
    private final String serviceName;
    private final String address;
    private final Deployment deployment;
    private final Record record;
    private final Service service;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, StandInInstance::daemon);
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean heartbeating = true;

    /** Starts the instance, and announces it until {@link #stopHeartbeats}. */
    StandInInstance(String id, String serviceName, String ip, Deployment deployment, Record record, Service service)
            throws IOException {
        this.id = id;
        this.serviceName = serviceName;
        this.address = ip + ":" + LoopbackSubnet.INSTANCE_PORT;
        this.deployment = deployment;
        this.record = record;
        this.service = service;
        server = HttpServer.create(new InetSocketAddress(ip, LoopbackSubnet.INSTANCE_PORT), 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        daemon(this::sendHeartbeats).start();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    String id() {
        return id;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
        String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
        if (exchange.getRequestURI().getPath().equals("/healthz")) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            exchange.sendResponseHeaders(200, -1);
        } else if (target != null && !target.equals(id)) {
            exchange.getResponseHeaders().set("X-Request-Id", requestId);
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            exchange.sendResponseHeaders(421, -1);
        } else {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("X-Request-Id", requestId);
            exchange.getResponseHeaders().set("X-Response-Signature", id + "." + requestId);
            service.run(this, exchange, requestId);
        }
        exchange.close();
    }

    private void sendHeartbeats() {
        int controller = 1;
        try {
            while (heartbeating) {
                int status = sendHeartbeat(controller, sequence.incrementAndGet());
                if (status == 200) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                } else {
                    controller = 1 + controller % Deployment.CORE_MACHINES;
                    Thread.sleep(50);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the sequence number of a heartbeat that {@link #sendHeartbeat} delivers later. */
    long takeSequence() {
        return sequence.incrementAndGet();
    }

    /** Sends a heartbeat with state "ready". Returns the status, 0 if there was no answer. */
    int sendHeartbeat(int controller, long heartbeatSequence) throws InterruptedException {
        String body = "{\"service\":\"" + serviceName + "\",\"address\":\"" + address
                + "\",\"zone\":\"hall\",\"config_version\":\"v1\",\"capacity\":" + CAPACITY + ",\"state\":\"ready\","
                + "\"warmup_left_ms\":0,\"sequence\":" + heartbeatSequence + "}";
        return deployment.call(HttpRequest.newBuilder(instanceUri(controller))
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8)));
    }

    /** Sends no further heartbeats of its own accord. */
    void stopHeartbeats() {
        heartbeating = false;
    }

    /** Says that the instance is gone. Returns the status, 0 if there was no answer. */
    int leave(int controller) throws InterruptedException {
        int status = deployment.call(HttpRequest.newBuilder(instanceUri(controller)).DELETE());
        record.add("instance " + id + " says DELETE to core-" + controller + ": " + status);
        return status;
    }

    private URI instanceUri(int controller) {
        return URI.create(deployment.controlUrl(controller) + "/burlarch/instances/" + id);
    }

    @Override
    public void close() {
        stopHeartbeats();
        server.stop(0);
        threads.shutdownNow();
    }
}
