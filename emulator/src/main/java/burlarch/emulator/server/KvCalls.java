package burlarch.emulator.server;

import burlarch.emulator.model.KvEventLog;
import burlarch.emulator.model.KvMemory;
import burlarch.emulator.model.PromptPart;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;

/**
 * A memory's calls: its events, its list, and, between stand-ins only, the parts themselves. The memory is
 * touched under its own lock alone, and whoever changes it calls {@link #changed}.
 */
final class KvCalls {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long LONGEST_WAIT_MILLIS = 1_000;
    private static final Duration MOVE_LIMIT = Duration.ofMillis(500);
    private static final String PARTS = "/burlarch/kv-parts";

    private final KvMemory memory;
    private final Semaphore held;

    /** @param maxInFlight calls for events that are held at once */
    KvCalls(KvMemory memory, int maxInFlight) {
        this.memory = memory;
        this.held = new Semaphore(maxInFlight);
    }

    /** Wakes the calls that wait for events. The caller holds the memory's lock. */
    void changed() {
        memory.notifyAll();
    }

    boolean serve(HttpExchange exchange, String path) throws IOException, InterruptedException {
        switch (path) {
            case "/burlarch/kv-events" -> events(exchange);
            case "/burlarch/kv-list" -> list(exchange);
            case PARTS -> parts(exchange);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void events(HttpExchange exchange) throws IOException, InterruptedException {
        if (!held.tryAcquire()) {
            Answers.whole(exchange, 429, "");
            return;
        }
        KvEventLog.Page page;
        try {
            page = await(
                    number(query(exchange, "since"), 0),
                    number(exchange.getRequestHeaders().getFirst("Wait-Ms"), 0));
        } finally {
            held.release();
        }
        ObjectNode json = MAPPER.createObjectNode()
                .put("epoch", page.epoch())
                .put("next_page_token", page.next())
                .put("lost", page.lost());
        ArrayNode events = json.putArray("events");
        for (KvEventLog.Event event : page.events()) {
            events.addArray()
                    .add(event.number())
                    .add(event.added() ? "+" : "-")
                    .add(event.salt())
                    .add(event.part())
                    .add(event.tokens())
                    .add(event.model());
        }
        Answers.json(exchange, 200, json.toString());
    }

    private KvEventLog.Page await(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + Math.min(LONGEST_WAIT_MILLIS, waitMillis) * 1_000_000;
        synchronized (memory) {
            long left = end - System.nanoTime();
            while (memory.log().lastNumber() == since && left > 0) {
                memory.wait(left / 1_000_000 + 1);
                left = end - System.nanoTime();
            }
            return memory.log().since(since);
        }
    }

    private void list(HttpExchange exchange) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        synchronized (memory) {
            json.put("epoch", memory.log().epoch())
                    .put("next_page_token", memory.log().lastNumber());
            ArrayNode list = json.putArray("held");
            for (KvMemory.Held part : memory.held()) {
                list.addArray()
                        .add(part.salt())
                        .add(part.part())
                        .add(part.tokens())
                        .add(part.model());
            }
        }
        Answers.json(exchange, 200, json.toString());
    }

    /** GET tells how many tokens of a prompt are kept, PUT hands parts over. */
    private void parts(HttpExchange exchange) throws IOException {
        String salt = exchange.getRequestHeaders().getFirst("Cache-Salt");
        List<PromptPart> parts = PromptPart.parse(exchange.getRequestHeaders().getFirst("X-Prefix-Hash"));
        int tokens;
        synchronized (memory) {
            if (exchange.getRequestMethod().equals("PUT")) {
                memory.keep(salt, parts, exchange.getRequestHeaders().getFirst("X-Model"));
                changed();
            }
            tokens = memory.keptTokens(salt, parts);
        }
        Answers.json(
                exchange, 200, MAPPER.createObjectNode().put("tokens", tokens).toString());
    }

    /** The parts of a prompt that another memory keeps from the first on; none where it does not answer. */
    static List<PromptPart> fetch(HttpClient http, String source, String salt, String prefix) {
        try {
            HttpRequest request = call(source, salt, prefix).GET().build();
            HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode json = MAPPER.readTree(answer.body());
            int left = json.path("tokens").asInt();
            List<PromptPart> found = new ArrayList<>();
            for (PromptPart part : PromptPart.parse(prefix)) {
                left -= part.tokens();
                if (left < 0) {
                    break;
                }
                found.add(part);
            }
            return found;
        } catch (IOException | IllegalArgumentException noAnswer) {
            return List.of();
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
            return List.of();
        }
    }

    /** Hands the parts of a prompt to a store, without waiting for its answer. */
    static void save(HttpClient http, String store, String salt, String prefix, String model) {
        try {
            http.sendAsync(
                    call(store, salt, prefix)
                            .header("X-Model", model)
                            .PUT(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IllegalArgumentException noAddress) {
            // A save is a favour: the request goes on without.
        }
    }

    private static HttpRequest.Builder call(String address, String salt, String prefix) {
        return HttpRequest.newBuilder(URI.create("http://" + address + PARTS))
                .timeout(MOVE_LIMIT)
                .header("Cache-Salt", salt)
                .header("X-Prefix-Hash", prefix);
    }

    private static String query(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        for (String item : query == null ? new String[0] : query.split("&")) {
            if (item.startsWith(name + "=")) {
                return item.substring(name.length() + 1);
            }
        }
        return null;
    }

    static long number(String text, long otherwise) {
        try {
            return text == null ? otherwise : Long.parseLong(text.trim());
        } catch (NumberFormatException malformed) {
            return otherwise;
        }
    }
}
