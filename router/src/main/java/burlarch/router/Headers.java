package burlarch.router;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Names of headers that the router sets, reads or takes out. */
final class Headers {
    static final String REQUEST_ID = "X-Request-Id";
    static final String SIGNATURE = "X-Response-Signature";
    static final String NOT_EXECUTED = "X-Not-Executed";
    static final String DEADLINE = "X-Request-Deadline";
    static final String CREDENTIAL = "X-Credential";
    static final String TENANT = "X-Tenant-Id";
    static final String TARGET = "X-Target-Instance";
    static final String SERVER_LOAD = "X-Server-Load";
    static final String VERSIONS = "Versions";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String RETRY_AFTER = "Retry-After";

    /** Headers that concern one connection, in lower case. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "proxy-connection",
            "proxy-authorization",
            "proxy-authenticate");
    /** Headers of requests that are the router's to set, or that it has acted on; in lower case. */
    private static final Set<String> OWN = Set.of(
            "content-length",
            "expect",
            "x-credential",
            "x-tenant-id",
            "x-target-instance",
            "x-request-deadline",
            "priority",
            "expect-version",
            "cache-salt",
            "kv-fetch",
            "kv-save");

    private Headers() {}

    /** Whether a request's header goes along; {@code named} as {@link #namedByConnection} tells. */
    static boolean passesWithRequest(String name, Set<String> named) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !OWN.contains(lower) && !named.contains(lower);
    }

    /** Whether an answer's header goes back. */
    static boolean passesWithAnswer(String name, Set<String> named) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !named.contains(lower);
    }

    /** Names that the Connection header lists, in lower case. */
    static Set<String> namedByConnection(HttpFields fields) {
        List<String> tokens = fields.getCSV("Connection", false);
        if (tokens.isEmpty()) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String token : tokens) {
            named.add(token.toLowerCase(Locale.ROOT));
        }
        return named;
    }

    /** The only value of a header, or null where there is none or more than one. */
    static String single(HttpFields fields, String name) {
        String value = null;
        for (HttpField field : fields) {
            if (field.getName().equalsIgnoreCase(name)) {
                if (value != null) {
                    return null;
                }
                value = field.getValue();
            }
        }
        return value;
    }

    /** Retry-After: seconds with three digits of their fraction. */
    static String seconds(long millis) {
        long least = Math.max(1, millis);
        return least / 1000 + "." + Long.toString(1000 + least % 1000).substring(1);
    }

    /** A decimal number that is not negative, or the given one where the text is none. */
    static long number(String text, long otherwise) {
        if (text == null || text.isEmpty() || text.length() > 18) {
            return otherwise;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return otherwise;
            }
            value = value * 10 + digit;
        }
        return value;
    }
}
