package burlarch.controller.api;

/** Size limits of the request bodies of the control API, for each body and in total. */
final class RequestBodyLimits {
    /** Limit of the body of a configuration or patch. */
    static final int MAX_CONFIGURATION_BYTES = 8 << 20;
    /** Limit of the body of any other call. */
    static final int MAX_OTHER_BYTES = 64 << 10;
    /** Limit of the bodies of all open calls in total. */
    static final long MAX_TOTAL_BYTES = 16 << 20;

    private RequestBodyLimits() {}
}
