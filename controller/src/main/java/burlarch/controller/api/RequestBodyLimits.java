package burlarch.controller.api;

/** How long the bodies of calls to a controller may be, each and together. */
final class RequestBodyLimits {
    /** Longest body of a configuration, bytes. */
    static final int MAX_CONFIGURATION_BYTES = 8 << 20;
    /** Longest body of any other call, bytes. */
    static final int MAX_OTHER_BYTES = 64 << 10;
    /** Most bytes that all open calls hold together. */
    static final long MAX_TOTAL_BYTES = 16 << 20;

    private RequestBodyLimits() {}
}
