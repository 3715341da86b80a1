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

/** Emulates a model engine: event streams, reports, weights orders and events of its KV cache. */
public final class EngineServer extends EmulatedInstance {
    /** Events of a KV cache that are retained for readers. */
    static final int EVENTS = 4_096;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineParameters parameters;
    private final KvCache cache;
    private final ContinuousBatchModel model;
    private final WeightsOrders orders;
    private final KvCacheEndpoints kvEndpoints;
    private final BatchExecutor worker;
    private final HttpClient http;

    /**
     * @param versions of weights that it starts with, by model
     * @param epoch of its KV cache, different for each start
     * @param http for segments that it fetches from other instances
     */
    public EngineServer(
            InstanceIdentity info,
            ExecutionListener executions,
            EngineParameters parameters,
            Map<String, Long> versions,
            int maxInFlight,
            long epoch,
            HttpClient http)
            throws IOException {
        super(info, executions);
        this.parameters = parameters;
        this.http = http;
        cache = new KvCache(parameters.blockTokens(), parameters.blocks(), new KvEventLog(epoch, EVENTS));
        model = new ContinuousBatchModel(parameters, cache);
        orders = new WeightsOrders(versions, parameters.loadNanos());
        kvEndpoints = new KvCacheEndpoints(cache, maxInFlight);
        worker = new BatchExecutor(info.id(), cache, model, orders, kvEndpoints);
    }

    @Override
    public void start() {
        worker.start();
        super.start();
    }

    /** Versions of weights by model. */
    @Override
    public Map<String, Long> versions() {
        synchronized (cache) {
            worker.completeDueOrder();
            return orders.versions();
        }
    }

    @Override
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        if (path.equals("/burlarch/report") || path.equals("/burlarch/order")) {
            String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
            if (target != null && !target.equals(info().id())) {
                Responses.rejectUnexecuted(exchange, 421);
            } else if (path.endsWith("report")) {
                Responses.sendJson(exchange, 200, report());
            } else {
                Responses.sendJson(exchange, order(body), "{}");
            }
            return true;
        }
        return kvEndpoints.serve(exchange, path);
    }

    @Override
    public void close() {
        super.close();
        worker.interrupt();
    }

    private String report() {
        ObjectNode json = MAPPER.createObjectNode().put("stage", "hybrid");
        ArrayNode models = json.putArray("models");
        synchronized (cache) {
            worker.completeDueOrder();
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

    private int order(byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException unreadable) {
            return 400;
        }
        synchronized (cache) {
            worker.completeDueOrder();
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
            request = request(headers);
        } catch (IllegalArgumentException malformed) {
            Responses.rejectUnexecuted(exchange, 400);
            return;
        }
        fetchSegments(headers, request);
        BatchExecutor.Stream stream = worker.offer(request);
        if (stream == null) {
            Responses.rejectUnexecuted(exchange, 503);
            return;
        }
        try {
            stream(exchange, request, stream);
            String store = headers.getFirst("Kv-Save");
            if (store != null) {
                KvCacheEndpoints.save(http, store, request.salt(), headers.getFirst("X-Prefix-Hash"), request.model());
            }
        } finally {
            worker.cancel(request);
        }
    }

    private static GenerationRequest request(Headers headers) {
        String usage = headers.getFirst("X-Token-Usage");
        if (usage == null) {
            throw new IllegalArgumentException("no X-Token-Usage");
        }
        int out = Integer.parseInt(usage.substring(usage.indexOf(',') + 1).trim());
        String salt = headers.getFirst("Cache-Salt");
        return new GenerationRequest(
                headers.getFirst("X-Request-Id"),
                headers.getFirst("X-Model"),
                salt == null ? "" : salt,
                PromptSegment.parse(headers.getFirst("X-Prefix-Hash")),
                (int) KvCacheEndpoints.number(headers.getFirst("Last-Event-Id"), 0) + 1,
                Math.max(1, out),
                (int) KvCacheEndpoints.number(headers.getFirst("Priority"), 5));
    }

    private void fetchSegments(Headers headers, GenerationRequest request) {
        String source = headers.getFirst("Kv-Fetch");
        if (source != null) {
            List<PromptSegment> found =
                    KvCacheEndpoints.fetch(http, source, request.salt(), headers.getFirst("X-Prefix-Hash"));
            synchronized (cache) {
                cache.cache(request.salt(), found, request.model());
                kvEndpoints.onChanged();
            }
        }
    }

    private void stream(HttpExchange exchange, GenerationRequest request, BatchExecutor.Stream stream)
            throws IOException, InterruptedException {
        ContinuousBatchModel.Token token = stream.next();
        executions().onExecuted(request.id(), info().id());
        sign(exchange);
        Headers head = exchange.getResponseHeaders();
        head.set("Content-Type", "text/event-stream");
        synchronized (cache) {
            head.set("X-Server-Load", model.running() + "," + model.queued() + "," + parameters.slots());
        }
        head.set("Versions", Long.toString(versions().getOrDefault(request.model(), 0L)));
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
