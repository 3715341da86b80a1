package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * An engine with continuous batching and chunked prefill. Each step prefills a chunk of the prompts that are not
 * complete, and decodes one token of every other running request. More urgent requests are admitted first. Where
 * memory runs out, the newest of the least urgent requests is preempted: it returns to the queue and is prefilled
 * again. No clock; not thread-safe: the owner of the {@link KvCache} holds its lock.
 */
public final class ContinuousBatchModel {
    private final EngineParameters parameters;
    private final KvCache cache;
    private final PriorityQueue<Sequence> waiting =
            new PriorityQueue<>(Comparator.comparingInt((Sequence entry) -> entry.request.priority())
                    .thenComparingLong(e -> e.order));
    private final List<Sequence> running = new ArrayList<>();
    private long orders;

    /** How an offer ended. */
    public enum Offer {
        ACCEPTED,
        /** No room in the queue. */
        FULL,
        /** Needs more than all memory. */
        TOO_LARGE
    }

    /** A token that a step decoded. */
    public record Token(GenerationRequest request, int number, boolean last) {}

    /** Duration of a step, and the tokens that it yields at its end. */
    public record Step(long durationNanos, List<Token> tokens) {}

    /** An idle engine. */
    public ContinuousBatchModel(EngineParameters parameters, KvCache cache) {
        this.parameters = parameters;
        this.cache = cache;
    }

    /** Queues a request, if there is room. */
    public Offer offer(GenerationRequest request) {
        int tokens = request.promptTokens() + request.lastToken();
        if (parameters.blocksFor(tokens) > parameters.blocks()) {
            return Offer.TOO_LARGE;
        }
        if (waiting.size() >= parameters.queue() && running.size() >= parameters.slots()) {
            return Offer.FULL;
        }
        waiting.add(new Sequence(request, orders++));
        return Offer.ACCEPTED;
    }

    /** Removes a request, whether queued or running. */
    public void cancel(String id) {
        waiting.removeIf(entry -> entry.request.id().equals(id));
        for (Iterator<Sequence> all = running.iterator(); all.hasNext(); ) {
            Sequence entry = all.next();
            if (entry.request.id().equals(id)) {
                cache.release(entry.reservedBlocks);
                all.remove();
            }
        }
    }

    /** Whether there is nothing to do. */
    public boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    /** Number of running requests. */
    public int running() {
        return running.size();
    }

    /** Number of queued requests. */
    public int queued() {
        return waiting.size();
    }

    /** Computes one step. */
    public Step step() {
        admitWaiting();
        int prefilledTokens = prefill();
        List<Token> tokens = new ArrayList<>();
        for (Sequence entry : List.copyOf(running)) {
            if (running.contains(entry) && entry.tokensToPrefill == 0) {
                decodeToken(entry, tokens);
            }
        }
        return new Step(
                parameters.stepNanos()
                        + running.size() * parameters.stepPerRequestNanos()
                        + prefilledTokens * parameters.promptTokenNanos(),
                tokens);
    }

    private void admitWaiting() {
        while (running.size() < parameters.slots() && !waiting.isEmpty()) {
            Sequence next = waiting.peek();
            int cachedTokens = cache.cachedPrefixTokens(next.request.salt(), next.request.segments());
            int ownTokens = next.request.promptTokens() - cachedTokens;
            int neededBlocks = parameters.blocksFor(ownTokens + next.request.firstToken());
            if (!cache.reserve(neededBlocks)) {
                return;
            }
            waiting.remove();
            next.reservedBlocks = neededBlocks;
            next.ownPromptTokens = ownTokens;
            next.tokensToPrefill = ownTokens + Math.max(0, next.decodedTokens - next.request.firstToken() + 1);
            running.add(next);
        }
    }

    private int prefill() {
        int remainingTokens = parameters.chunkTokens();
        for (Sequence entry : running) {
            int chunkTokens = Math.min(remainingTokens, entry.tokensToPrefill);
            entry.tokensToPrefill -= chunkTokens;
            remainingTokens -= chunkTokens;
            if (chunkTokens > 0 && entry.tokensToPrefill == 0) {
                cache.cache(entry.request.salt(), entry.request.segments(), entry.request.model());
            }
        }
        return parameters.chunkTokens() - remainingTokens;
    }

    private void decodeToken(Sequence entry, List<Token> tokens) {
        int neededBlocks = parameters.blocksFor(entry.ownPromptTokens + entry.decodedTokens + 1);
        while (neededBlocks > entry.reservedBlocks && !cache.reserve(neededBlocks - entry.reservedBlocks)) {
            Sequence victim = newestOfTheLeastUrgent();
            preempt(victim);
            if (victim == entry) {
                return;
            }
        }
        entry.reservedBlocks = Math.max(entry.reservedBlocks, neededBlocks);
        entry.decodedTokens++;
        boolean last = entry.decodedTokens >= entry.request.lastToken();
        tokens.add(new Token(entry.request, entry.decodedTokens, last));
        if (last) {
            cache.release(entry.reservedBlocks);
            running.remove(entry);
            // If the request itself left no room to cache its segments, there is room now.
            cache.cache(entry.request.salt(), entry.request.segments(), entry.request.model());
        }
    }

    private Sequence newestOfTheLeastUrgent() {
        Sequence found = running.get(0);
        for (Sequence entry : running) {
            if (entry.request.priority() >= found.request.priority()) {
                found = entry;
            }
        }
        return found;
    }

    private void preempt(Sequence entry) {
        running.remove(entry);
        cache.release(entry.reservedBlocks);
        entry.reservedBlocks = 0;
        waiting.add(entry);
    }

    private static final class Sequence {
        private final GenerationRequest request;
        private final long order;
        /** Tokens of the prompt that were not cached at its admission, and use memory of its own. */
        private int ownPromptTokens;

        private int tokensToPrefill;
        private int decodedTokens;
        private int reservedBlocks;

        Sequence(GenerationRequest request, long order) {
            this.request = request;
            this.order = order;
            this.decodedTokens = request.firstToken() - 1;
        }
    }
}
