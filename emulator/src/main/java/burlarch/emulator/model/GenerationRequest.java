package burlarch.emulator.model;

import java.util.List;

/**
 * Request to generate tokens.
 *
 * @param id id of the request
 * @param model name of the model
 * @param salt cache salt; only segments with the same salt are shared
 * @param segments segments of the prompt, in order
 * @param firstToken number of the first token to decode; above 1 if a stream is resumed
 * @param lastToken number of the last token to decode
 * @param priority 0 is the most urgent
 */
public record GenerationRequest(
        String id,
        String model,
        String salt,
        List<PromptSegment> segments,
        int firstToken,
        int lastToken,
        int priority) {

    /** Returns the number of tokens of the whole prompt. */
    public int promptTokens() {
        return segments.stream().mapToInt(PromptSegment::tokens).sum();
    }
}
