package burlarch.router.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Names of the headers that the router sets, reads or removes, and the rules for forwarding headers. */
public final class Headers {
    /** Identifies a request; the response to it carries the same value. */
    public static final String REQUEST_ID = "X-Request-Id";
    /** Signature by the instance over its response. */
    public static final String SIGNATURE = "X-Response-Signature";
    /** States that the instance has not executed the request and never will. */
    public static final String NOT_EXECUTED = "X-Not-Executed";
    /** Time that remains for a request, in milliseconds. */
    public static final String DEADLINE = "X-Request-Deadline";
    /** API key of a client. */
    public static final String CREDENTIAL = "X-Credential";
    /** Tenant to which the router has attributed a request. */
    public static final String TENANT = "X-Tenant-Id";
    /** Instance for which a request is meant. */
    public static final String TARGET = "X-Target-Instance";
    /** Load of an instance, as {@link HintHeaders#serverLoad} parses it. */
    public static final String SERVER_LOAD = "X-Server-Load";
    /** Version of the weights that an instance has loaded. */
    public static final String VERSIONS = "Versions";
    /** Id of the last event of a stream that the client has received. */
    public static final String LAST_EVENT_ID = "Last-Event-Id";
    /** Time after which a client may retry, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** Headers that apply to a single connection (RFC 9110, hop-by-hop), in lower case. */
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
    /** Request headers that only the router may set, or that it has already processed; in lower case. */
    private static final Set<String> RESERVED_FOR_ROUTER = Set.of(
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

    /** Every number of 18 decimal digits fits into a long. */
    private static final int MAX_DIGITS = 18;

    private Headers() {}

    /**
     * Whether a header of a client's request is forwarded to the instance.
     *
     * @param connectionOptions connection options of the same message, see {@link #connectionOptions}
     */
    public static boolean isForwardedToInstance(String name, Set<String> connectionOptions) {
        String lowerCaseName = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lowerCaseName)
                && !RESERVED_FOR_ROUTER.contains(lowerCaseName)
                && !connectionOptions.contains(lowerCaseName);
    }

    /**
     * Whether a header of an instance's response is forwarded to the client.
     *
     * @param connectionOptions connection options of the same message, see {@link #connectionOptions}
     */
    public static boolean isForwardedToClient(String name, Set<String> connectionOptions) {
        String lowerCaseName = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lowerCaseName) && !connectionOptions.contains(lowerCaseName);
    }

    /** Returns the connection options (RFC 9110): the names that the Connection header lists, in lower case. */
    public static Set<String> connectionOptions(HttpFields fields) {
        List<String> tokens = fields.getCSV("Connection", false);
        if (tokens.isEmpty()) {
            return Set.of();
        }
        Set<String> options = new HashSet<>();
        for (String token : tokens) {
            options.add(token.toLowerCase(Locale.ROOT));
        }
        return options;
    }

    /** Returns the value of a header that occurs exactly once; null if it is absent or repeated. */
    public static String singleValue(HttpFields fields, String name) {
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

    /** Formats a value of Retry-After: seconds with three decimals, at least one millisecond. */
    public static String retryAfterSeconds(long millis) {
        long positiveMillis = Math.max(1, millis);
        return positiveMillis / 1000 + "."
                + Long.toString(1000 + positiveMillis % 1000).substring(1);
    }

    /** Parses a non-negative decimal number of at most 18 digits; anything else yields {@code fallback}. */
    public static long parseNumber(String text, long fallback) {
        if (text == null || text.isEmpty() || text.length() > MAX_DIGITS) {
            return fallback;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return fallback;
            }
            value = value * 10 + digit;
        }
        return value;
    }
}
