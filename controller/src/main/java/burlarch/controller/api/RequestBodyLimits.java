package burlarch.controller.api;

/** Limits of the request bodies of the control API, each and in total. */
final class RequestBodyLimits {
    /** The longest body of a configuration. */
    static final int MAX_CONFIGURATION_BYTES = 8 << 20;
    /** The longest body of any other call. */
    static final int MAX_OTHER_BYTES = 64 << 10;
    /** The bytes that all open calls may hold in total. */
    static final long MAX_TOTAL_BYTES = 16 << 20;

    private RequestBodyLimits() {}
}
