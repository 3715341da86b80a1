package burlarch.emulator.server;

import burlarch.emulator.model.ContinuousBatchModel;
import burlarch.emulator.model.EngineParameters;
import burlarch.emulator.model.GenerationRequest;
import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.KvEventLog;
import burlarch.emulator.model.PromptSegment;
import burlarch.emulator.model.WeightsOrders;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.List;
import java.util.Map;

/** Emulated inference engine: serves event streams, reports, weights orders and the events of its KV cache. */
public final class EngineServer extends EmulatedInstance {
    /** Maximum number of events of a KV cache that are retained for readers. */
    static final int MAX_RETAINED_EVENTS = 4_096;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineParameters parameters;
    private final KvCache cache;
    private final ContinuousBatchModel model;
    private final WeightsOrders orders;
    private final KvCacheEndpoints kvEndpoints;
    private final BatchExecutor batchExecutor;
    private final HttpClient http;

    /**
     * @param versions initial versions of the weights by model
     * @param maxInFlight calls for cache events that may wait at once
     * @param epoch epoch of the KV cache, different for each start
     * @param http client to fetch segments from other instances and to save them to stores
     */
    public EngineServer(
            InstanceIdentity identity,
            ExecutionListener executions,
            EngineParameters parameters,
            Map<String, Long> versions,
            int maxInFlight,
            long epoch,
            HttpClient http)
            throws IOException {
        super(identity, executions);
        this.parameters = parameters;
        this.http = http;
        cache = new KvCache(parameters.blockTokens(), parameters.blocks(), new KvEventLog(epoch, MAX_RETAINED_EVENTS));
        model = new ContinuousBatchModel(parameters, cache);
        orders = new WeightsOrders(versions, parameters.loadNanos());
        kvEndpoints = new KvCacheEndpoints(cache, maxInFlight);
        batchExecutor = new BatchExecutor(identity.id(), cache, model, orders, kvEndpoints);
    }

    @Override
    public void start() {
        batchExecutor.start();
        super.start();
    }

    /** Returns the versions of the weights by model. */
    @Override
    public Map<String, Long> versions() {
        synchronized (cache) {
            batchExecutor.completeDueOrder();
            return orders.versions();
        }
    }

    @Override
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        if (path.equals("/burlarch/report") || path.equals("/burlarch/order")) {
            String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
            if (target != null && !target.equals(identity().id())) {
                Responses.rejectUnexecuted(exchange, 421);
            } else if (path.endsWith("report")) {
                Responses.sendJson(exchange, 200, buildReport());
            } else {
                Responses.sendJson(exchange, acceptOrder(body), "{}");
            }
            return true;
        }
        return kvEndpoints.serve(exchange, path);
    }

    @Override
    public void close() {
        super.close();
        batchExecutor.interrupt();
    }

    private String buildReport() {
        ObjectNode json = MAPPER.createObjectNode().put("stage", "hybrid");
        ArrayNode models = json.putArray("models");
        synchronized (cache) {
            batchExecutor.completeDueOrder();
            orders.versions().forEach((name, version) -> models.addObject()
                    .put("name", name)
                    .put("config_version", version)
                    .putArray("adapters"));
            json.put("busy", orders.busy())
                    .put("sequence", orders.sequence())
                    .put("queued", model.queued())
                    .put("running", model.running())
                    .put("kv_used", cache.usedTokens())
                    .put("kv_total", cache.totalTokens())
                    .put("handles", 0);
        }
        return json.toString();
    }

    private int acceptOrder(byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException unreadable) {
            return 400;
        }
        synchronized (cache) {
            batchExecutor.completeDueOrder();
            return orders.accept(
                    new WeightsOrders.Order(
                            json.path("op").asText(),
                            json.path("model").asText(),
                            json.path("config_version").asLong(),
                            json.path("mode").asText(),
                            json.path("holder").asText(),
                            json.path("fence_token").asLong(),
                            json.path("if_revision").asLong(-1)),
                    System.nanoTime());
        }
    }

    @Override
    void serve(HttpExchange exchange) throws IOException, InterruptedException {
        Headers headers = exchange.getRequestHeaders();
        GenerationRequest request;
        try {
            request = parseRequest(headers);
        } catch (IllegalArgumentException malformed) {
            Responses.rejectUnexecuted(exchange, 400);
            return;
        }
        fetchSegments(headers, request);
        BatchExecutor.Stream stream = batchExecutor.offer(request);
        if (stream == null) {
            Responses.rejectUnexecuted(exchange, 503);
            return;
        }
        try {
            writeStream(exchange, request, stream);
            String storeAddress = headers.getFirst("Kv-Save");
            if (storeAddress != null) {
                KvCacheEndpoints.save(
                        http, storeAddress, request.salt(), headers.getFirst("X-Prefix-Hash"), request.model());
            }
        } finally {
            batchExecutor.cancel(request);
        }
    }

    private static GenerationRequest parseRequest(Headers headers) {
        String tokenUsage = headers.getFirst("X-Token-Usage");
        if (tokenUsage == null) {
            throw new IllegalArgumentException("header X-Token-Usage is missing");
        }
        int outputTokens = Integer.parseInt(
                tokenUsage.substring(tokenUsage.indexOf(',') + 1).trim());
        String salt = headers.getFirst("Cache-Salt");
        return new GenerationRequest(
                headers.getFirst("X-Request-Id"),
                headers.getFirst("X-Model"),
                salt == null ? "" : salt,
                PromptSegment.parse(headers.getFirst("X-Prefix-Hash")),
                (int) KvCacheEndpoints.parseLong(headers.getFirst("Last-Event-Id"), 0) + 1,
                Math.max(1, outputTokens),
                (int) KvCacheEndpoints.parseLong(headers.getFirst("Priority"), 5));
    }

    private void fetchSegments(Headers headers, GenerationRequest request) {
        String sourceAddress = headers.getFirst("Kv-Fetch");
        if (sourceAddress != null) {
            List<PromptSegment> fetchedSegments =
                    KvCacheEndpoints.fetch(http, sourceAddress, request.salt(), headers.getFirst("X-Prefix-Hash"));
            synchronized (cache) {
                cache.cache(request.salt(), fetchedSegments, request.model());
                kvEndpoints.onChanged();
            }
        }
    }

    private void writeStream(HttpExchange exchange, GenerationRequest request, BatchExecutor.Stream stream)
            throws IOException, InterruptedException {
        ContinuousBatchModel.Token token = stream.next();
        executions().onExecuted(request.id(), identity().id());
        setSignatureHeaders(exchange);
        Headers responseHeaders = exchange.getResponseHeaders();
        responseHeaders.set("Content-Type", "text/event-stream");
        synchronized (cache) {
            responseHeaders.set(
                    "X-Server-Load", model.running() + "," + model.queued() + "," + parameters.maxRunning());
        }
        responseHeaders.set("Versions", Long.toString(versions().getOrDefault(request.model(), 0L)));
        exchange.sendResponseHeaders(200, 0);
        EventStreamWriter events =
                new EventStreamWriter(exchange.getResponseBody(), versions().get(request.model()));
        while (!token.last()) {
            events.write(token, versions().get(request.model()));
            token = stream.next();
        }
        events.write(token, versions().get(request.model()));
        exchange.getResponseBody().close();
    }
}
