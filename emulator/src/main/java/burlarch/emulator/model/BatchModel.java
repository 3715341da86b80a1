package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * An engine that works in batches. Each step reads a piece of the prompts that wait to be read and gives
 * every request that is read one more token. More urgent requests enter first; where memory runs out, the
 * newest of the least urgent goes back to the queue and is read anew. Not safe for use by threads at the same
 * time.
 */
public final class BatchModel {
    private final EngineParameters parameters;
    private final KvMemory memory;
    private final PriorityQueue<Entry> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Entry entry) -> entry.job.priority()).thenComparingLong(e -> e.order));
    private final List<Entry> running = new ArrayList<>();
    private long orders;

    /** How an offer ended. */
    public enum Offer {
        TAKEN,
        /** No room in the queue. */
        FULL,
        /** Larger than the whole memory. */
        TOO_LARGE
    }

    /** A token that a step gave out. */
    public record Token(Job job, int number, boolean last) {}

    /** What a step takes and, once it is over, gives. */
    public record Step(long durationNanos, List<Token> tokens) {}

    /** An idle engine. */
    public BatchModel(EngineParameters parameters, KvMemory memory) {
        this.parameters = parameters;
        this.memory = memory;
    }

    /** Takes a job into the queue, or doesn't. */
    public Offer offer(Job job) {
        int tokens = job.promptTokens() + job.lastToken();
        if (parameters.blocksFor(tokens) > parameters.blocks()) {
            return Offer.TOO_LARGE;
        }
        if (waiting.size() >= parameters.queue() && running.size() >= parameters.slots()) {
            return Offer.FULL;
        }
        waiting.add(new Entry(job, orders++));
        return Offer.TAKEN;
    }

    /** Drops a job wherever it stands. */
    public void cancel(String id) {
        waiting.removeIf(entry -> entry.job.id().equals(id));
        for (Iterator<Entry> all = running.iterator(); all.hasNext(); ) {
            Entry entry = all.next();
            if (entry.job.id().equals(id)) {
                memory.release(entry.reserved);
                all.remove();
            }
        }
    }

    /** Whether there is nothing to do. */
    public boolean idle() {
        return waiting.isEmpty() && running.isEmpty();
    }

    /** Requests that run. */
    public int running() {
        return running.size();
    }

    /** Requests that wait. */
    public int queued() {
        return waiting.size();
    }

    /** Does one step. */
    public Step step() {
        enter();
        int read = readPrompts();
        List<Token> tokens = new ArrayList<>();
        for (Entry entry : List.copyOf(running)) {
            if (running.contains(entry) && entry.unread == 0) {
                giveToken(entry, tokens);
            }
        }
        return new Step(
                parameters.stepNanos()
                        + running.size() * parameters.stepPerRequestNanos()
                        + read * parameters.promptTokenNanos(),
                tokens);
    }

    private void enter() {
        while (running.size() < parameters.slots() && !waiting.isEmpty()) {
            Entry next = waiting.peek();
            int shared = memory.keptTokens(next.job.salt(), next.job.parts());
            int own = next.job.promptTokens() - shared;
            int wanted = parameters.blocksFor(own + next.job.firstToken());
            if (!memory.reserve(wanted)) {
                return;
            }
            waiting.remove();
            next.reserved = wanted;
            next.own = own;
            next.unread = own + Math.max(0, next.produced - next.job.firstToken() + 1);
            running.add(next);
        }
    }

    private int readPrompts() {
        int left = parameters.chunkTokens();
        for (Entry entry : running) {
            int piece = Math.min(left, entry.unread);
            entry.unread -= piece;
            left -= piece;
            if (piece > 0 && entry.unread == 0) {
                memory.keep(entry.job.salt(), entry.job.parts(), entry.job.model());
            }
        }
        return parameters.chunkTokens() - left;
    }

    private void giveToken(Entry entry, List<Token> tokens) {
        int wanted = parameters.blocksFor(entry.own + entry.produced + 1);
        while (wanted > entry.reserved && !memory.reserve(wanted - entry.reserved)) {
            Entry victim = newestOfTheLeastUrgent();
            putBack(victim);
            if (victim == entry) {
                return;
            }
        }
        entry.reserved = Math.max(entry.reserved, wanted);
        entry.produced++;
        boolean last = entry.produced >= entry.job.lastToken();
        tokens.add(new Token(entry.job, entry.produced, last));
        if (last) {
            memory.release(entry.reserved);
            running.remove(entry);
            // Where the request itself left no room for them, its parts stay now.
            memory.keep(entry.job.salt(), entry.job.parts(), entry.job.model());
        }
    }

    private Entry newestOfTheLeastUrgent() {
        Entry found = running.get(0);
        for (Entry entry : running) {
            if (entry.job.priority() >= found.job.priority()) {
                found = entry;
            }
        }
        return found;
    }

    private void putBack(Entry entry) {
        running.remove(entry);
        memory.release(entry.reserved);
        entry.reserved = 0;
        waiting.add(entry);
    }

    private static final class Entry {
        private final Job job;
        private final long order;
        /** Tokens of the prompt that it found kept by none, and has in memory of its own. */
        private int own;

        private int unread;
        private int produced;
        private int reserved;

        Entry(Job job, long order) {
            this.job = job;
            this.order = order;
            this.produced = job.firstToken() - 1;
        }
    }
}
