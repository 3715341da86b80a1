package burlarch.proxy;

import io.netty.util.AsciiString;

/** HTTP header names of the cache protocol. */
public final class Headers {
    public static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-ID");
    public static final AsciiString CLASS = AsciiString.cached("X-Priority-Class");
    public static final AsciiString TENANT = AsciiString.cached("X-Tenant-Id");
    public static final AsciiString TIMEOUT_MS = AsciiString.cached("X-Timeout-Ms");
    public static final AsciiString COST = AsciiString.cached("X-Cost");
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    public static final AsciiString NOT_PROCESSED = AsciiString.cached("X-Not-Processed");

    private Headers() {}

    /**
     * Formats a time as a Retry-After value: decimal seconds, rounded to the millisecond. Does not use a
     * formatter, which would load locale data when the first overload begins.
     */
    public static String formatSeconds(long nanos) {
        long millis = (nanos + 500_000) / 1_000_000;
        String fraction = Long.toString(1000 + millis % 1000);
        return millis / 1000 + "." + fraction.substring(1);
    }
}
