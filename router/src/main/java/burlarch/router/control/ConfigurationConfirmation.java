package burlarch.router.control;

/**
 * State of the confirmation of the configuration in force: the time as of which it is known to be the newest one. A
 * controller confirms it by a quorum read that starts after the router's request. Therefore no version newer than the
 * one that the read returned had been acknowledged when the router sent its request.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>any</td><td>a request is sent</td><td>the same, with the new request pending instead of an earlier
 * one</td></tr>
 * <tr><td>pending request</td><td>response: the version in force, or an older one</td><td>confirmed as of the
 * request's time</td></tr>
 * <tr><td>pending request</td><td>response: a newer version</td><td>version awaited</td></tr>
 * <tr><td>version awaited</td><td>that version, or a newer one, is in force</td><td>confirmed as of the request's
 * time</td></tr>
 * <tr><td>version awaited</td><td>response: a still newer version</td><td>both versions awaited</td></tr>
 * </table>
 *
 * <p>Invariant <em>one clock</em>: only times of this router's own monotonic clock are compared, never times of
 * another machine. Used on the event loop; {@link #isConfirmedSince} may be called on any thread.
 */
final class ConfigurationConfirmation {
    /** A version that a response returned and that was not in force then, and the time of its request. */
    private record AwaitedVersion(long version, long asOfNanos) {}

    private long requestNumber;
    private long requestedAtNanos;
    private boolean pending;
    /**
     * The oldest version that is awaited; null if there is none. It is kept when a newer one is returned, so that
     * versions in quick succession do not put off the confirmation.
     */
    private AwaitedVersion oldestAwaited;
    /** The version that the newest response returned; null if none is awaited. */
    private AwaitedVersion newestAwaited;

    private volatile boolean confirmed;
    private volatile long confirmedAsOfNanos;

    /** Called when a request is sent. Returns the number of the request. */
    long onRequest(long nowNanos) {
        requestNumber++;
        requestedAtNanos = nowNanos;
        pending = true;
        return requestNumber;
    }

    /** Whether the last request has not been answered yet. */
    boolean isPending() {
        return pending;
    }

    /** Time at which the last request was sent; valid only after a request. */
    long requestedAtNanos() {
        return requestedAtNanos;
    }

    /**
     * Called with the version that a quorum read returned. Responses to earlier requests are ignored.
     *
     * @param number number of the request, as returned by {@link #onRequest}
     * @param version version that the quorum read returned
     * @param inForceVersion version of the configuration in force on this router, 0 if there is none
     */
    void onResponse(long number, long version, long inForceVersion) {
        if (!pending || number != requestNumber) {
            return;
        }
        pending = false;
        if (version <= inForceVersion) {
            confirm(requestedAtNanos);
        } else {
            await(new AwaitedVersion(version, requestedAtNanos));
        }
    }

    private void await(AwaitedVersion awaited) {
        newestAwaited = awaited;
        if (oldestAwaited == null || oldestAwaited.version() >= awaited.version()) {
            oldestAwaited = awaited;
        }
    }

    /** Called when the given version is in force. */
    void onInForce(long version) {
        if (newestAwaited != null && version >= newestAwaited.version()) {
            confirm(newestAwaited.asOfNanos());
            newestAwaited = null;
            oldestAwaited = null;
        } else if (oldestAwaited != null && version >= oldestAwaited.version()) {
            confirm(oldestAwaited.asOfNanos());
            oldestAwaited = newestAwaited;
        }
    }

    private void confirm(long asOfNanos) {
        if (!confirmed || asOfNanos - confirmedAsOfNanos > 0) {
            confirmedAsOfNanos = asOfNanos;
            confirmed = true;
        }
    }

    /** Whether the configuration in force was confirmed as of the given time or a later one. */
    boolean isConfirmedSince(long nanos) {
        return confirmed && confirmedAsOfNanos - nanos >= 0;
    }
}
