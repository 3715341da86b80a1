package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Segment of a prompt, the unit of prefix caching.
 *
 * @param id hexadecimal id
 * @param tokens length in tokens
 */
public record PromptSegment(String id, int tokens) {

    /**
     * Parses the header X-Prefix-Hash, a comma-separated list of ID:TOKENS; empty if the header is absent.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static List<PromptSegment> parse(String header) {
        List<PromptSegment> segments = new ArrayList<>();
        if (header != null && !header.isBlank()) {
            for (String item : header.split(",")) {
                int colon = item.indexOf(':');
                if (colon <= 0) {
                    throw new IllegalArgumentException("prompt segment must have the form ID:TOKENS: " + item);
                }
                segments.add(new PromptSegment(
                        item.substring(0, colon).trim(),
                        Integer.parseInt(item.substring(colon + 1).trim())));
            }
        }
        return List.copyOf(segments);
    }
}
