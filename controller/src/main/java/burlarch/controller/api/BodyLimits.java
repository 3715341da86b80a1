package burlarch.controller.api;

/** How long the bodies of calls to a controller may be, each and together. */
final class BodyLimits {
    /** Longest body of a configuration, bytes. */
    static final int LONGEST_CONFIGURATION = 8 << 20;
    /** Longest body of any other call, bytes. */
    static final int LONGEST_OTHER = 64 << 10;
    /** Most bytes that all open calls hold together. */
    static final long MOST_TOGETHER = 16 << 20;

    private BodyLimits() {}
}
