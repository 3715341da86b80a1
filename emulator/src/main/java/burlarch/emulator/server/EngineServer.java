package burlarch.emulator.server;

import burlarch.emulator.model.BatchModel;
import burlarch.emulator.model.EngineParameters;
import burlarch.emulator.model.Job;
import burlarch.emulator.model.KvEventLog;
import burlarch.emulator.model.KvMemory;
import burlarch.emulator.model.PromptPart;
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

/** Stands in for an engine: streams of events, reports, orders, events of its memory. */
public final class EngineServer extends StandIn {
    /** Events of a memory that are held for readers. */
    static final int EVENTS = 4_096;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EngineParameters parameters;
    private final KvMemory memory;
    private final BatchModel model;
    private final WeightsOrders orders;
    private final KvCalls kvCalls;
    private final EngineWorker worker;
    private final HttpClient http;

    /**
     * @param versions of weights that it starts with, by model
     * @param epoch of its memory, another one for each start
     * @param http for parts that it takes from others
     */
    public EngineServer(
            InstanceInfo info,
            RunBook book,
            EngineParameters parameters,
            Map<String, Long> versions,
            int maxInFlight,
            long epoch,
            HttpClient http)
            throws IOException {
        super(info, book);
        this.parameters = parameters;
        this.http = http;
        memory = new KvMemory(parameters.blockTokens(), parameters.blocks(), new KvEventLog(epoch, EVENTS));
        model = new BatchModel(parameters, memory);
        orders = new WeightsOrders(versions, parameters.loadNanos());
        kvCalls = new KvCalls(memory, maxInFlight);
        worker = new EngineWorker(info.id(), memory, model, orders, kvCalls);
    }

    @Override
    public void start() {
        worker.start();
        super.start();
    }

    /** Versions of weights by model. */
    @Override
    public Map<String, Long> versions() {
        synchronized (memory) {
            worker.finishOrder();
            return orders.versions();
        }
    }

    @Override
    boolean serveOwn(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        if (path.equals("/burlarch/report") || path.equals("/burlarch/order")) {
            String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
            if (target != null && !target.equals(info().id())) {
                Answers.notExecuted(exchange, 421);
            } else if (path.endsWith("report")) {
                Answers.json(exchange, 200, report());
            } else {
                Answers.json(exchange, order(body), "{}");
            }
            return true;
        }
        return kvCalls.serve(exchange, path);
    }

    @Override
    public void close() {
        super.close();
        worker.interrupt();
    }

    private String report() {
        ObjectNode json = MAPPER.createObjectNode().put("stage", "hybrid");
        ArrayNode models = json.putArray("models");
        synchronized (memory) {
            worker.finishOrder();
            orders.versions().forEach((name, version) -> models.addObject()
                    .put("name", name)
                    .put("config_version", version)
                    .putArray("adapters"));
            json.put("busy", orders.busy())
                    .put("sequence", orders.sequence())
                    .put("queued", model.queued())
                    .put("running", model.running())
                    .put("kv_used", memory.usedTokens())
                    .put("kv_total", memory.totalTokens())
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
        synchronized (memory) {
            worker.finishOrder();
            return orders.take(
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
        Job job;
        try {
            job = job(headers);
        } catch (IllegalArgumentException malformed) {
            Answers.notExecuted(exchange, 400);
            return;
        }
        takeOver(headers, job);
        EngineWorker.Stream stream = worker.offer(job);
        if (stream == null) {
            Answers.notExecuted(exchange, 503);
            return;
        }
        try {
            stream(exchange, job, stream);
            String store = headers.getFirst("Kv-Save");
            if (store != null) {
                KvCalls.save(http, store, job.salt(), headers.getFirst("X-Prefix-Hash"), job.model());
            }
        } finally {
            worker.cancel(job);
        }
    }

    private static Job job(Headers headers) {
        String usage = headers.getFirst("X-Token-Usage");
        if (usage == null) {
            throw new IllegalArgumentException("no X-Token-Usage");
        }
        int out = Integer.parseInt(usage.substring(usage.indexOf(',') + 1).trim());
        String salt = headers.getFirst("Cache-Salt");
        return new Job(
                headers.getFirst("X-Request-Id"),
                headers.getFirst("X-Model"),
                salt == null ? "" : salt,
                PromptPart.parse(headers.getFirst("X-Prefix-Hash")),
                (int) KvCalls.number(headers.getFirst("Last-Event-Id"), 0) + 1,
                Math.max(1, out),
                (int) KvCalls.number(headers.getFirst("Priority"), 5));
    }

    private void takeOver(Headers headers, Job job) {
        String source = headers.getFirst("Kv-Fetch");
        if (source != null) {
            List<PromptPart> found = KvCalls.fetch(http, source, job.salt(), headers.getFirst("X-Prefix-Hash"));
            synchronized (memory) {
                memory.keep(job.salt(), found, job.model());
                kvCalls.changed();
            }
        }
    }

    private void stream(HttpExchange exchange, Job job, EngineWorker.Stream stream)
            throws IOException, InterruptedException {
        BatchModel.Token token = stream.next();
        book().ran(job.id(), info().id());
        sign(exchange);
        Headers head = exchange.getResponseHeaders();
        head.set("Content-Type", "text/event-stream");
        synchronized (memory) {
            head.set("X-Server-Load", model.running() + "," + model.queued() + "," + parameters.slots());
        }
        head.set("Versions", Long.toString(versions().getOrDefault(job.model(), 0L)));
        exchange.sendResponseHeaders(200, 0);
        EventWriter events =
                new EventWriter(exchange.getResponseBody(), versions().get(job.model()));
        while (!token.last()) {
            events.write(token, versions().get(job.model()));
            token = stream.next();
        }
        events.write(token, versions().get(job.model()));
        exchange.getResponseBody().close();
    }
}
