package burlarch.emulator.server;

import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.KvEventLog;
import burlarch.emulator.model.PromptSegment;
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
 * HTTP calls to a KV cache: its events, its complete list and, between emulated instances only, the segments
 * themselves. The cache is used under its own lock, and whoever changes it calls {@link #onChanged}.
 */
final class KvCacheEndpoints {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAX_WAIT_MILLIS = 1_000;
    private static final Duration TRANSFER_TIMEOUT = Duration.ofMillis(500);
    private static final String SEGMENTS_PATH = "/burlarch/kv-parts";

    private final KvCache cache;
    private final Semaphore concurrentEventCalls;

    /** @param maxInFlight calls for events that may wait at once; more are rejected with 429 */
    KvCacheEndpoints(KvCache cache, int maxInFlight) {
        this.cache = cache;
        this.concurrentEventCalls = new Semaphore(maxInFlight);
    }

    /** Wakes the calls that wait for events. The caller holds the cache's lock. */
    void onChanged() {
        cache.notifyAll();
    }

    boolean serve(HttpExchange exchange, String path) throws IOException, InterruptedException {
        switch (path) {
            case "/burlarch/kv-events" -> events(exchange);
            case "/burlarch/kv-list" -> list(exchange);
            case SEGMENTS_PATH -> segments(exchange);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void events(HttpExchange exchange) throws IOException, InterruptedException {
        if (!concurrentEventCalls.tryAcquire()) {
            Responses.send(exchange, 429, "");
            return;
        }
        KvEventLog.Page page;
        try {
            page = await(
                    number(query(exchange, "since"), 0),
                    number(exchange.getRequestHeaders().getFirst("Wait-Ms"), 0));
        } finally {
            concurrentEventCalls.release();
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
                    .add(event.segment())
                    .add(event.tokens())
                    .add(event.model());
        }
        Responses.sendJson(exchange, 200, json.toString());
    }

    private KvEventLog.Page await(long since, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + Math.min(MAX_WAIT_MILLIS, waitMillis) * 1_000_000;
        synchronized (cache) {
            long left = end - System.nanoTime();
            while (cache.log().lastNumber() == since && left > 0) {
                cache.wait(left / 1_000_000 + 1);
                left = end - System.nanoTime();
            }
            return cache.log().since(since);
        }
    }

    private void list(HttpExchange exchange) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        synchronized (cache) {
            json.put("epoch", cache.log().epoch())
                    .put("next_page_token", cache.log().lastNumber());
            ArrayNode list = json.putArray("held");
            for (KvCache.CachedSegment segment : cache.cachedSegments()) {
                list.addArray()
                        .add(segment.salt())
                        .add(segment.segment())
                        .add(segment.tokens())
                        .add(segment.model());
            }
        }
        Responses.sendJson(exchange, 200, json.toString());
    }

    /** GET returns how many tokens of a prompt are cached, PUT transfers segments to the cache. */
    private void segments(HttpExchange exchange) throws IOException {
        String salt = exchange.getRequestHeaders().getFirst("Cache-Salt");
        List<PromptSegment> segments =
                PromptSegment.parse(exchange.getRequestHeaders().getFirst("X-Prefix-Hash"));
        int tokens;
        synchronized (cache) {
            if (exchange.getRequestMethod().equals("PUT")) {
                cache.cache(salt, segments, exchange.getRequestHeaders().getFirst("X-Model"));
                onChanged();
            }
            tokens = cache.cachedPrefixTokens(salt, segments);
        }
        Responses.sendJson(
                exchange, 200, MAPPER.createObjectNode().put("tokens", tokens).toString());
    }

    /** The longest prefix of a prompt that another instance caches; empty if it does not respond. */
    static List<PromptSegment> fetch(HttpClient http, String source, String salt, String prefix) {
        try {
            HttpRequest request = call(source, salt, prefix).GET().build();
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode json = MAPPER.readTree(response.body());
            int left = json.path("tokens").asInt();
            List<PromptSegment> found = new ArrayList<>();
            for (PromptSegment segment : PromptSegment.parse(prefix)) {
                left -= segment.tokens();
                if (left < 0) {
                    break;
                }
                found.add(segment);
            }
            return found;
        } catch (IOException | IllegalArgumentException noResponse) {
            return List.of();
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
            return List.of();
        }
    }

    /** Transfers the segments of a prompt to a store, without waiting for its response. */
    static void save(HttpClient http, String store, String salt, String prefix, String model) {
        try {
            http.sendAsync(
                    call(store, salt, prefix)
                            .header("X-Model", model)
                            .PUT(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IllegalArgumentException noAddress) {
            // Saving is best effort: the request does not depend on it.
        }
    }

    private static HttpRequest.Builder call(String address, String salt, String prefix) {
        return HttpRequest.newBuilder(URI.create("http://" + address + SEGMENTS_PATH))
                .timeout(TRANSFER_TIMEOUT)
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
