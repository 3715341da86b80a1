package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.List;

/**
 * A segment of a prompt.
 *
 * @param id in hex
 * @param tokens its length
 */
public record PromptSegment(String id, int tokens) {

    /**
     * Parses the X-Prefix-Hash header, ID:TOKENS separated by commas; empty if the header is absent.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static List<PromptSegment> parse(String text) {
        List<PromptSegment> segments = new ArrayList<>();
        if (text != null && !text.isBlank()) {
            for (String item : text.split(",")) {
                int colon = item.indexOf(':');
                if (colon <= 0) {
                    throw new IllegalArgumentException("no part of a prompt: " + item);
                }
                segments.add(new PromptSegment(
                        item.substring(0, colon).trim(),
                        Integer.parseInt(item.substring(colon + 1).trim())));
            }
        }
        return List.copyOf(segments);
    }
}
