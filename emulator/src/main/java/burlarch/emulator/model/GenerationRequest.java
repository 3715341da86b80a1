package burlarch.emulator.model;

import java.util.List;

/**
 * A request to generate tokens.
 *
 * @param id of the request
 * @param model its name
 * @param salt under which its segments are cached
 * @param segments of the prompt, in order
 * @param firstToken number of the first token to decode; above 1 where a stream is resumed
 * @param lastToken number of the last one
 * @param priority 0 for the most urgent
 */
public record GenerationRequest(
        String id,
        String model,
        String salt,
        List<PromptSegment> segments,
        int firstToken,
        int lastToken,
        int priority) {

    /** Tokens of the whole prompt. */
    public int promptTokens() {
        return segments.stream().mapToInt(PromptSegment::tokens).sum();
    }
}
