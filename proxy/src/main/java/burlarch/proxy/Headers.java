package burlarch.proxy;

import io.netty.util.AsciiString;

/** Names of the protocol's own headers. */
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
     * A span as Retry-After has it: in seconds, to the millisecond. Not by a formatter, which loads locales,
     * and would do so in the first moment in which much is refused.
     */
    public static String seconds(long nanos) {
        long millis = (nanos + 500_000) / 1_000_000;
        String rest = Long.toString(1000 + millis % 1000);
        return millis / 1000 + "." + rest.substring(1);
    }
}
