package burlarch.router.http;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;

/**
 * How long a connection to an instance may stay idle after a response and still be reused.
 *
 * @param idleMillis 0 if the connection must not be reused
 */
public record KeepAliveTimeout(long idleMillis) {
    /** For a server that names no timeout: it may close an idle connection within a second. */
    public static final KeepAliveTimeout UNSPECIFIED = new KeepAliveTimeout(300);

    private static final KeepAliveTimeout CLOSE = new KeepAliveTimeout(0);
    private static final long MIN_IDLE_MILLIS = 500;
    private static final long MARGIN_MILLIS = 1000;
    private static final long MAX_SECONDS = 3600;

    /** Reads the Connection and Keep-Alive headers of a response. */
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
