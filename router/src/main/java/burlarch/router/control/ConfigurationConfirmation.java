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
 * </table>
 *
 * <p>Invariant <em>one clock</em>: only times of this router's own monotonic clock are compared, never times of
 * another machine. Used on the event loop; {@link #isConfirmedSince} may be called on any thread.
 */
final class ConfigurationConfirmation {
    private static final long NONE = 0;

    private long requestNumber = NONE;
    private long requestedAtNanos;
    private boolean pending;
    /** Version that the newest accepted response returned and that is not in force yet; {@link #NONE} if none is. */
    private long awaitedVersion = NONE;

    private long awaitedAsOfNanos;
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
            awaitedVersion = version;
            awaitedAsOfNanos = requestedAtNanos;
        }
    }

    /** Called when the given version is in force. */
    void onInForce(long version) {
        if (awaitedVersion != NONE && version >= awaitedVersion) {
            awaitedVersion = NONE;
            confirm(awaitedAsOfNanos);
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
