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
 * HTTP endpoints of a KV cache: its events, a snapshot and, between emulated instances only, the transfer of segments.
 * The cache is used under its own lock; code that changes it calls {@link #onChanged}.
 */
final class KvCacheEndpoints {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MAX_WAIT_MILLIS = 1_000;
    private static final Duration TRANSFER_TIMEOUT = Duration.ofMillis(500);
    private static final String SEGMENTS_PATH = "/burlarch/kv-parts";

    private final KvCache cache;
    private final Semaphore eventCallPermits;

    /** @param maxInFlight calls for events that may wait at once; further ones are rejected with status 429 */
    KvCacheEndpoints(KvCache cache, int maxInFlight) {
        this.cache = cache;
        this.eventCallPermits = new Semaphore(maxInFlight);
    }

    /** Wakes the calls that wait for events. The caller holds the lock of the cache. */
    void onChanged() {
        cache.notifyAll();
    }

    /** Serves a call; returns false if there is no endpoint with this path. */
    boolean serve(HttpExchange exchange, String path) throws IOException, InterruptedException {
        switch (path) {
            case "/burlarch/kv-events" -> serveEvents(exchange);
            case "/burlarch/kv-list" -> serveSnapshot(exchange);
            case SEGMENTS_PATH -> serveSegments(exchange);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void serveEvents(HttpExchange exchange) throws IOException, InterruptedException {
        if (!eventCallPermits.tryAcquire()) {
            Responses.send(exchange, 429, "");
            return;
        }
        KvEventLog.Page page;
        try {
            page = awaitEvents(
                    parseLong(queryParameter(exchange, "since"), 0),
                    parseLong(exchange.getRequestHeaders().getFirst("Wait-Ms"), 0));
        } finally {
            eventCallPermits.release();
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

    private KvEventLog.Page awaitEvents(long since, long waitMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + Math.min(MAX_WAIT_MILLIS, waitMillis) * 1_000_000;
        synchronized (cache) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            while (cache.log().lastNumber() == since && remainingNanos > 0) {
                cache.wait(remainingNanos / 1_000_000 + 1);
                remainingNanos = deadlineNanos - System.nanoTime();
            }
            return cache.log().since(since);
        }
    }

    private void serveSnapshot(HttpExchange exchange) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        synchronized (cache) {
            json.put("epoch", cache.log().epoch())
                    .put("next_page_token", cache.log().lastNumber());
            ArrayNode entries = json.putArray("held");
            for (KvCache.CachedSegment segment : cache.cachedSegments()) {
                entries.addArray()
                        .add(segment.salt())
                        .add(segment.segment())
                        .add(segment.tokens())
                        .add(segment.model());
            }
        }
        Responses.sendJson(exchange, 200, json.toString());
    }

    /** PUT adds segments to the cache; GET and PUT return the tokens of the longest cached prefix of a prompt. */
    private void serveSegments(HttpExchange exchange) throws IOException {
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

    /** Returns the longest prefix of a prompt that another instance caches; empty if it does not respond. */
    static List<PromptSegment> fetch(HttpClient http, String sourceAddress, String salt, String prefixHashes) {
        try {
            HttpRequest request =
                    segmentsRequest(sourceAddress, salt, prefixHashes).GET().build();
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode json = MAPPER.readTree(response.body());
            int remainingTokens = json.path("tokens").asInt();
            List<PromptSegment> cachedPrefix = new ArrayList<>();
            for (PromptSegment segment : PromptSegment.parse(prefixHashes)) {
                remainingTokens -= segment.tokens();
                if (remainingTokens < 0) {
                    break;
                }
                cachedPrefix.add(segment);
            }
            return cachedPrefix;
        } catch (IOException | IllegalArgumentException noResponse) {
            return List.of();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return List.of();
        }
    }

    /** Transfers the segments of a prompt to a store, without waiting for its response. */
    static void save(HttpClient http, String storeAddress, String salt, String prefixHashes, String model) {
        try {
            http.sendAsync(
                    segmentsRequest(storeAddress, salt, prefixHashes)
                            .header("X-Model", model)
                            .PUT(HttpRequest.BodyPublishers.noBody())
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IllegalArgumentException invalidAddress) {
            // Saving is best effort: the response to the client does not depend on it.
        }
    }

    private static HttpRequest.Builder segmentsRequest(String address, String salt, String prefixHashes) {
        return HttpRequest.newBuilder(URI.create("http://" + address + SEGMENTS_PATH))
                .timeout(TRANSFER_TIMEOUT)
                .header("Cache-Salt", salt)
                .header("X-Prefix-Hash", prefixHashes);
    }

    private static String queryParameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getQuery();
        for (String parameter : query == null ? new String[0] : query.split("&")) {
            if (parameter.startsWith(name + "=")) {
                return parameter.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Parses a number; returns the default if the text is null or malformed. */
    static long parseLong(String text, long defaultValue) {
        try {
            return text == null ? defaultValue : Long.parseLong(text.trim());
        } catch (NumberFormatException malformed) {
            return defaultValue;
        }
    }
}
