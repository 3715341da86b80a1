package burlarch.transport;

import org.tinylog.Logger;

/** Closes what the caller is done with: a failure is logged for debugging and changes nothing. */
final class QuietCloser {
    private QuietCloser() {}

    static void close(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            Logger.debug(e, "close failed: resource={}", resource);
        }
    }
}
