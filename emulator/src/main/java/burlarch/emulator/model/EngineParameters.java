package burlarch.emulator.model;

/**
 * How fast and how large an engine is. Times are nanoseconds.
 *
 * @param slots requests that run at once
 * @param queue requests that wait at most
 * @param stepNanos of one step of an empty batch
 * @param stepPerRequestNanos longer for each running request
 * @param promptTokenNanos for each token of a prompt that is read in a step
 * @param chunkTokens of prompts that one step reads at most
 * @param blockTokens memory is handed out in blocks of so many tokens
 * @param blocks of memory
 * @param loadNanos for which an order to load weights takes the engine up
 */
public record EngineParameters(
        int slots,
        int queue,
        long stepNanos,
        long stepPerRequestNanos,
        long promptTokenNanos,
        int chunkTokens,
        int blockTokens,
        int blocks,
        long loadNanos) {

    /** A small engine: a token each 10 ms or so, 20 tokens of a prompt read in a millisecond. */
    public static EngineParameters small() {
        return new EngineParameters(16, 32, 8_000_000, 300_000, 50_000, 512, 16, 4_096, 400_000_000);
    }

    /** Blocks that so many tokens take. */
    int blocksFor(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
