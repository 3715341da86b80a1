package burlarch.emulator.model;

import java.util.List;

/**
 * A request for a generation.
 *
 * @param id of the request
 * @param model its name
 * @param salt under which its parts are kept
 * @param parts of the prompt, in order
 * @param firstToken number of the first token to be given out; above 1 where a stream is taken up
 * @param lastToken number of the last one
 * @param priority 0 first
 */
public record Job(
        String id, String model, String salt, List<PromptPart> parts, int firstToken, int lastToken, int priority) {

    /** Tokens of the whole prompt. */
    public int promptTokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }
}
