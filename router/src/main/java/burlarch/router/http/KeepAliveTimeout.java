package burlarch.router.http;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;

/**
 * Maximum idle time after which a connection to an instance may still be reused.
 *
 * @param idleMillis maximum idle time in milliseconds; 0 if the connection must not be reused
 */
public record KeepAliveTimeout(long idleMillis) {
    /** Timeout for a server that states none: it may close an idle connection within a second. */
    public static final KeepAliveTimeout UNSPECIFIED = new KeepAliveTimeout(300);

    private static final KeepAliveTimeout CLOSE = new KeepAliveTimeout(0);
    private static final long MIN_IDLE_MILLIS = 500;
    /** A connection is not reused this shortly before the server closes it. */
    private static final long MARGIN_MILLIS = 1000;

    private static final long MAX_SECONDS = 3600;

    /** Parses the Connection and Keep-Alive headers of a response. */
    public static KeepAliveTimeout parse(HttpFields fields) {
        if (Headers.connectionOptions(fields).contains("close")) {
            return CLOSE;
        }
        for (String parameter : fields.getCSV("Keep-Alive", false)) {
            String text = parameter.toLowerCase(Locale.ROOT);
            if (text.startsWith("timeout=")) {
                long seconds = Math.min(MAX_SECONDS, Headers.parseNumber(text.substring("timeout=".length()), 0));
                return seconds == 0
                        ? UNSPECIFIED
                        : new KeepAliveTimeout(Math.max(MIN_IDLE_MILLIS, seconds * 1000 - MARGIN_MILLIS));
            }
        }
        return UNSPECIFIED;
    }

    /** Whether the connection may be used for another request. */
    public boolean isReusable() {
        return idleMillis > 0;
    }
}
