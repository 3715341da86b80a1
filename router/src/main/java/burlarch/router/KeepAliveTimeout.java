package burlarch.router;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;

/**
 * How long a connection may rest after an answer.
 *
 * @param restMillis 0 where it must not be used again
 */
record KeepAliveTimeout(long restMillis) {
    /** A server that tells no time has less than a whole second. */
    static final KeepAliveTimeout UNTOLD = new KeepAliveTimeout(300);

    private static final KeepAliveTimeout NONE = new KeepAliveTimeout(0);
    private static final long LEAST_MILLIS = 500;
    private static final long MARGIN_MILLIS = 1000;
    private static final long MOST_SECONDS = 3600;

    /** What an answer's head says. */
    static KeepAliveTimeout of(HttpFields fields) {
        if (Headers.namedByConnection(fields).contains("close")) {
            return NONE;
        }
        for (String parameter : fields.getCSV("Keep-Alive", false)) {
            String text = parameter.toLowerCase(Locale.ROOT);
            if (text.startsWith("timeout=")) {
                long seconds = Math.min(MOST_SECONDS, Headers.number(text.substring("timeout=".length()), 0));
                return seconds == 0
                        ? UNTOLD
                        : new KeepAliveTimeout(Math.max(LEAST_MILLIS, seconds * 1000 - MARGIN_MILLIS));
            }
        }
        return UNTOLD;
    }

    boolean reusable() {
        return restMillis > 0;
    }
}
