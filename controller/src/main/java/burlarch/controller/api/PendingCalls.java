package burlarch.controller.api;

import java.util.concurrent.CompletableFuture;

/**
 * Number of calls that have been read and whose responses are not written yet. After {@link #close} no call begins.
 * May be called on any thread; guarded by this.
 */
final class PendingCalls {
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private int count;
    private boolean closed;

    /** Begins a call. Returns false if the calls are closed; the call must be rejected then. */
    synchronized boolean begin() {
        if (!closed) {
            count++;
        }
        return !closed;
    }

    /** Ends a call that has begun. */
    void end() {
        boolean isLast;
        synchronized (this) {
            count--;
            isLast = closed && count == 0;
        }
        if (isLast) {
            ended.complete(null);
        }
    }

    /** Lets no further call begin. The result completes when all calls have ended. */
    CompletableFuture<Void> close() {
        boolean isEmpty;
        synchronized (this) {
            closed = true;
            isEmpty = count == 0;
        }
        if (isEmpty) {
            ended.complete(null);
        }
        return ended;
    }
}
