package burlarch.transport;

import org.tinylog.Logger;

/** Closes a resource that is no longer used; a failure is only logged at debug level. */
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
