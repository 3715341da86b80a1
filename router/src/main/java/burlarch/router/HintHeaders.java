package burlarch.router;

import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.List;

/** Reads the headers that tell of a prompt or a load. What is malformed counts as not told. */
final class HintHeaders {
    /** No prompt has more parts than fit the largest head; this bounds what a hostile one makes us keep. */
    private static final int MOST_PARTS = 4096;

    private HintHeaders() {}

    /** Tokens of the prompt and most tokens out, {0, 0} if not told. */
    static int[] tokenUsage(String value) {
        int comma = value == null ? -1 : value.indexOf(',');
        if (comma < 0) {
            return new int[2];
        }
        long in = Headers.number(value.substring(0, comma).trim(), -1);
        long out = Headers.number(value.substring(comma + 1).trim(), -1);
        if (in < 0 || out < 0 || in > Integer.MAX_VALUE || out > Integer.MAX_VALUE) {
            return new int[2];
        }
        return new int[] {(int) in, (int) out};
    }

    /** Parts of a prompt: ID:TOKENS by commas, ids in hex. */
    static List<PromptPart> parts(String value) {
        if (value == null || value.isEmpty()) {
            return List.of();
        }
        List<PromptPart> parts = new ArrayList<>();
        int start = 0;
        while (start <= value.length()) {
            int end = value.indexOf(',', start);
            end = end < 0 ? value.length() : end;
            PromptPart part = part(value.substring(start, end).trim());
            if (part == null || parts.size() == MOST_PARTS) {
                return List.of();
            }
            parts.add(part);
            start = end + 1;
        }
        return List.copyOf(parts);
    }

    private static PromptPart part(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            return null;
        }
        long tokens = Headers.number(text.substring(colon + 1), -1);
        if (tokens < 0 || tokens > Integer.MAX_VALUE) {
            return null;
        }
        try {
            return new PromptPart(Long.parseUnsignedLong(text, 0, colon, 16), (int) tokens);
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    /** Requests running, requests waiting and slots, or null. */
    static ServerLoad load(String value) {
        String[] figures = value == null ? new String[0] : value.split(",", -1);
        if (figures.length != 3) {
            return null;
        }
        int[] numbers = new int[3];
        for (int i = 0; i < 3; i++) {
            long number = Headers.number(figures[i].trim(), -1);
            if (number < 0 || number > Integer.MAX_VALUE) {
                return null;
            }
            numbers[i] = (int) number;
        }
        return new ServerLoad(numbers[0], numbers[1], numbers[2]);
    }
}
