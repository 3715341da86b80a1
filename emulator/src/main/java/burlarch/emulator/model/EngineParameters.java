package burlarch.emulator.model;

/**
 * Speed and capacity of an emulated engine. Times are in nanoseconds.
 *
 * @param maxRunning maximum number of running requests
 * @param maxQueued maximum number of queued requests
 * @param stepNanos base duration of a step
 * @param stepPerRequestNanos additional duration for each running request
 * @param promptTokenNanos additional duration for each prefilled token
 * @param chunkTokens maximum number of tokens that one step prefills
 * @param blockTokens tokens per block of memory
 * @param blocks number of blocks of memory
 * @param loadNanos time to load a version of the weights
 */
public record EngineParameters(
        int maxRunning,
        int maxQueued,
        long stepNanos,
        long stepPerRequestNanos,
        long promptTokenNanos,
        int chunkTokens,
        int blockTokens,
        int blocks,
        long loadNanos) {

    /** Returns the parameters of a small engine: about 10 ms per token, and 20 prefilled tokens per millisecond. */
    public static EngineParameters small() {
        return new EngineParameters(16, 32, 8_000_000, 300_000, 50_000, 512, 16, 4_096, 400_000_000);
    }

    /** Returns the number of blocks that {@code tokens} tokens occupy. */
    int blocksFor(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }
}
