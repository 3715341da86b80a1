package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of a prompt.
 *
 * @param id in hex
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {

    /**
     * The parts that a header tells, ID:TOKENS by commas; none where it is absent.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static List<PromptPart> parse(String text) {
        List<PromptPart> parts = new ArrayList<>();
        if (text != null && !text.isBlank()) {
            for (String item : text.split(",")) {
                int colon = item.indexOf(':');
                if (colon <= 0) {
                    throw new IllegalArgumentException("no part of a prompt: " + item);
                }
                parts.add(new PromptPart(
                        item.substring(0, colon).trim(),
                        Integer.parseInt(item.substring(colon + 1).trim())));
            }
        }
        return List.copyOf(parts);
    }
}
