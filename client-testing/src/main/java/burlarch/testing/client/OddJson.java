package burlarch.testing.client;

import java.nio.charset.StandardCharsets;
import java.util.function.IntFunction;

/** Documents of legal size that occupy many times their length once they are parsed or found invalid. */
public enum OddJson {
    /** A list of empty objects in a field that no reader knows. */
    EMPTY_OBJECTS("{\"config_version\":1,\"odd\":[", i -> "{}", "]}"),
    /** A list of empty lists. */
    EMPTY_LISTS("{\"config_version\":1,\"odd\":[", i -> "[]", "]}"),
    /** A list of short texts. */
    SHORT_TEXTS("{\"config_version\":1,\"odd\":[", i -> "\"" + Integer.toString(i % 36, 36) + "\"", "]}"),
    /** One object with very many fields. */
    MANY_FIELDS("{\"config_version\":1", i -> "\"" + Integer.toString(i, 36) + "\":0", "}"),
    /** Routes that lack all that a route must have. */
    EMPTY_ROUTES("{\"config_version\":1,\"services\":[],\"routes\":[", i -> "{}", "]}"),
    /** Tenants that lack all that a tenant must have, in a change. */
    EMPTY_ITEMS_IN_A_PATCH("{\"config_version\":1,\"upsert\":{\"tenants\":[", i -> "{}", "]}}"),
    /** Lists in lists as deep as the document is long. */
    DEEP_LISTS("{\"config_version\":1,\"odd\":", i -> "[", "}");

    private final String start;
    private final IntFunction<String> element;
    private final String end;

    OddJson(String start, IntFunction<String> element, String end) {
        this.start = start;
        this.element = element;
        this.end = end;
    }

    /** Returns a document of at most {@code maxBytes}. */
    public byte[] bytes(int maxBytes) {
        StringBuilder text = new StringBuilder(maxBytes).append(start);
        boolean needsComma = this == MANY_FIELDS;
        for (int i = 0; text.length() < maxBytes - 64; i++) {
            text.append(needsComma ? "," : "").append(element.apply(i));
            needsComma = this != DEEP_LISTS;
        }
        return text.append(end).toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
