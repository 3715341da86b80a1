package burlarch.router.http;

import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.List;

/**
 * Parser of the headers that carry placement hints: size and prefix of a prompt, load of an instance. A malformed
 * value is treated as absent.
 */
public final class HintHeaders {
    /** No head can carry more segments; limits the memory that a malicious header can occupy. */
    private static final int MAX_PROMPT_SEGMENTS = 4096;

    private HintHeaders() {}

    /** Parses the number of prompt tokens and the maximum number of output tokens; {0, 0} if absent. */
    public static int[] tokenUsage(String value) {
        int comma = value == null ? -1 : value.indexOf(',');
        if (comma < 0) {
            return new int[2];
        }
        long promptTokens = Headers.parseNumber(value.substring(0, comma).trim(), -1);
        long outputTokens = Headers.parseNumber(value.substring(comma + 1).trim(), -1);
        if (promptTokens < 0
                || outputTokens < 0
                || promptTokens > Integer.MAX_VALUE
                || outputTokens > Integer.MAX_VALUE) {
            return new int[2];
        }
        return new int[] {(int) promptTokens, (int) outputTokens};
    }

    /** Parses the segments of a prompt: comma-separated ID:TOKENS pairs with hexadecimal ids; empty if absent. */
    public static List<PromptSegment> promptSegments(String value) {
        if (value == null || value.isEmpty()) {
            return List.of();
        }
        List<PromptSegment> segments = new ArrayList<>();
        int start = 0;
        while (start <= value.length()) {
            int end = value.indexOf(',', start);
            end = end < 0 ? value.length() : end;
            PromptSegment segment = parseSegment(value.substring(start, end).trim());
            if (segment == null || segments.size() == MAX_PROMPT_SEGMENTS) {
                return List.of();
            }
            segments.add(segment);
            start = end + 1;
        }
        return List.copyOf(segments);
    }

    private static PromptSegment parseSegment(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            return null;
        }
        long tokens = Headers.parseNumber(text.substring(colon + 1), -1);
        if (tokens < 0 || tokens > Integer.MAX_VALUE) {
            return null;
        }
        try {
            return new PromptSegment(Long.parseUnsignedLong(text, 0, colon, 16), (int) tokens);
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    /** Parses the numbers of running requests, queued requests and slots of an instance; null if absent. */
    public static ServerLoad serverLoad(String value) {
        String[] fields = value == null ? new String[0] : value.split(",", -1);
        if (fields.length != 3) {
            return null;
        }
        int[] numbers = new int[3];
        for (int i = 0; i < 3; i++) {
            long number = Headers.parseNumber(fields[i].trim(), -1);
            if (number < 0 || number > Integer.MAX_VALUE) {
                return null;
            }
            numbers[i] = (int) number;
        }
        return new ServerLoad(numbers[0], numbers[1], numbers[2]);
    }
}
