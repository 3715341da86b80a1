package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Model of an inference engine with continuous batching and chunked prefill. Each step prefills a chunk of the prompts
 * that are not prefilled yet, and decodes one token of every other running request. More urgent requests are admitted
 * first. If memory runs out, the newest of the least urgent requests is preempted: it returns to the queue and is
 * prefilled again. Reads no clock. Not thread-safe: the caller holds the lock of the {@link KvCache}.
 */
public final class ContinuousBatchModel {
    private final EngineParameters parameters;
    private final KvCache cache;
    private final PriorityQueue<Sequence> waiting =
            new PriorityQueue<>(Comparator.comparingInt((Sequence sequence) -> sequence.request.priority())
                    .thenComparingLong(sequence -> sequence.arrivalNumber));
    private final List<Sequence> running = new ArrayList<>();
    private long arrivals;

    /** Result of offering a request. */
    public enum Offer {
        ACCEPTED,
        /** The queue is full. */
        FULL,
        /** The request needs more than the whole memory. */
        TOO_LARGE
    }

    /** Token that a step decoded. */
    public record Token(GenerationRequest request, int number, boolean last) {}

    /** Duration of a step, and the tokens that are available at its end. */
    public record Step(long durationNanos, List<Token> tokens) {}

    /** Creates an idle engine. */
    public ContinuousBatchModel(EngineParameters parameters, KvCache cache) {
        this.parameters = parameters;
        this.cache = cache;
    }

    /** Queues a request if the queue and the memory permit it. */
    public Offer offer(GenerationRequest request) {
        int tokens = request.promptTokens() + request.lastToken();
        if (parameters.blocksFor(tokens) > parameters.blocks()) {
            return Offer.TOO_LARGE;
        }
        if (waiting.size() >= parameters.maxQueued() && running.size() >= parameters.maxRunning()) {
            return Offer.FULL;
        }
        waiting.add(new Sequence(request, arrivals++));
        return Offer.ACCEPTED;
    }

    /** Removes a queued or running request; does nothing if there is none with this id. */
    public void cancel(String id) {
        waiting.removeIf(sequence -> sequence.request.id().equals(id));
        for (Iterator<Sequence> iterator = running.iterator(); iterator.hasNext(); ) {
            Sequence sequence = iterator.next();
            if (sequence.request.id().equals(id)) {
                cache.release(sequence.reservedBlocks);
                iterator.remove();
            }
        }
    }

    /** Returns whether no request is queued or running. */
    public boolean isIdle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    /** Returns the number of running requests. */
    public int running() {
        return running.size();
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return waiting.size();
    }

    /** Executes one step: admits, prefills and decodes. */
    public Step step() {
        admitWaiting();
        int prefilledTokens = prefill();
        List<Token> tokens = new ArrayList<>();
        for (Sequence sequence : List.copyOf(running)) {
            if (running.contains(sequence) && sequence.tokensToPrefill == 0) {
                decodeToken(sequence, tokens);
            }
        }
        return new Step(
                parameters.stepNanos()
                        + running.size() * parameters.stepPerRequestNanos()
                        + prefilledTokens * parameters.promptTokenNanos(),
                tokens);
    }

    private void admitWaiting() {
        while (running.size() < parameters.maxRunning() && !waiting.isEmpty()) {
            Sequence candidate = waiting.peek();
            int cachedTokens = cache.cachedPrefixTokens(candidate.request.salt(), candidate.request.segments());
            int uncachedTokens = candidate.request.promptTokens() - cachedTokens;
            int neededBlocks = parameters.blocksFor(uncachedTokens + candidate.request.firstToken());
            if (!cache.reserve(neededBlocks)) {
                return;
            }
            waiting.remove();
            candidate.reservedBlocks = neededBlocks;
            candidate.uncachedPromptTokens = uncachedTokens;
            candidate.tokensToPrefill =
                    uncachedTokens + Math.max(0, candidate.decodedTokens - candidate.request.firstToken() + 1);
            running.add(candidate);
        }
    }

    private int prefill() {
        int remainingTokens = parameters.chunkTokens();
        for (Sequence sequence : running) {
            int chunkTokens = Math.min(remainingTokens, sequence.tokensToPrefill);
            sequence.tokensToPrefill -= chunkTokens;
            remainingTokens -= chunkTokens;
            if (chunkTokens > 0 && sequence.tokensToPrefill == 0) {
                cache.cache(sequence.request.salt(), sequence.request.segments(), sequence.request.model());
            }
        }
        return parameters.chunkTokens() - remainingTokens;
    }

    private void decodeToken(Sequence sequence, List<Token> tokens) {
        int neededBlocks = parameters.blocksFor(sequence.uncachedPromptTokens + sequence.decodedTokens + 1);
        while (neededBlocks > sequence.reservedBlocks && !cache.reserve(neededBlocks - sequence.reservedBlocks)) {
            Sequence victim = selectVictim();
            preempt(victim);
            if (victim == sequence) {
                return;
            }
        }
        sequence.reservedBlocks = Math.max(sequence.reservedBlocks, neededBlocks);
        sequence.decodedTokens++;
        boolean last = sequence.decodedTokens >= sequence.request.lastToken();
        tokens.add(new Token(sequence.request, sequence.decodedTokens, last));
        if (last) {
            cache.release(sequence.reservedBlocks);
            running.remove(sequence);
            // Retries to cache the segments, for which the request itself may have left no room.
            cache.cache(sequence.request.salt(), sequence.request.segments(), sequence.request.model());
        }
    }

    private Sequence selectVictim() {
        Sequence selected = running.get(0);
        for (Sequence sequence : running) {
            if (sequence.request.priority() >= selected.request.priority()) {
                selected = sequence;
            }
        }
        return selected;
    }

    private void preempt(Sequence sequence) {
        running.remove(sequence);
        cache.release(sequence.reservedBlocks);
        sequence.reservedBlocks = 0;
        waiting.add(sequence);
    }

    /** State of one queued or running request. */
    private static final class Sequence {
        private final GenerationRequest request;
        private final long arrivalNumber;
        /** Tokens of the prompt that were not cached on admission and occupy memory of the request itself. */
        private int uncachedPromptTokens;

        private int tokensToPrefill;
        private int decodedTokens;
        private int reservedBlocks;

        Sequence(GenerationRequest request, long arrivalNumber) {
            this.request = request;
            this.arrivalNumber = arrivalNumber;
            this.decodedTokens = request.firstToken() - 1;
        }
    }
}
