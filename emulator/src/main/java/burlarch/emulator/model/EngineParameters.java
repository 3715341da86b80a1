package burlarch.emulator.model;

/**
 * Speed and capacity of an emulated engine. Times are nanoseconds.
 *
 * @param slots maximum number of running requests
 * @param queue maximum number of queued requests
 * @param stepNanos duration of a step of an empty batch
 * @param stepPerRequestNanos additional duration for each running request
 * @param promptTokenNanos additional duration for each prefilled token
 * @param chunkTokens maximum number of tokens that one step prefills
 * @param blockTokens tokens in a block of memory
 * @param blocks of memory
 * @param loadNanos time to load weights
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

    /** A small engine: about 10 ms for each token, 20 prompt tokens prefilled in a millisecond. */
    public static EngineParameters small() {
        return new EngineParameters(16, 32, 8_000_000, 300_000, 50_000, 512, 16, 4_096, 400_000_000);
    }

    /** Blocks that so many tokens need. */
    int blocksFor(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
