package burlarch.router.control;

/**
 * As of when the configuration in force is known to be the newest one. A controller confirms it by a quorum read that
 * starts after the router's request; so at the time at which the router sent its request, no version was acknowledged
 * that is newer than the one that the read returned.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>any</td><td>a request is sent</td><td>the same, with that request pending in place of an earlier
 * one</td></tr>
 * <tr><td>pending request</td><td>response: the version in force, or an older one</td><td>confirmed as of the
 * request's time</td></tr>
 * <tr><td>pending request</td><td>response: a newer version</td><td>the version is awaited</td></tr>
 * <tr><td>version awaited</td><td>that version, or a newer one, is in force</td><td>confirmed as of the request's
 * time</td></tr>
 * </table>
 *
 * <p>Invariant <em>confirmed by causality</em>: times of this router's own monotonic clock are compared with one
 * another
 * only; no clock of another machine takes part. Used on the event loop, but {@link #isConfirmedSince} on any thread.
 */
final class ConfigurationConfirmation {
    private static final long NONE = 0;

    private long requestNumber = NONE;
    private long requestedAtNanos;
    private boolean pending;
    /**
     * The version that the newest useful response named and that is not in force yet; {@link #NONE} if there is none.
     */
    private long awaitedVersion = NONE;

    private long awaitedAsOfNanos;
    private volatile boolean confirmed;
    private volatile long confirmedAsOfNanos;

    /** A request is being sent; returns its number. */
    long onRequest(long nowNanos) {
        requestNumber++;
        requestedAtNanos = nowNanos;
        pending = true;
        return requestNumber;
    }

    /** Whether the last request has had no response. */
    boolean isPending() {
        return pending;
    }

    /** When the last request was sent; meaningful once there was one. */
    long requestedAtNanos() {
        return requestedAtNanos;
    }

    /**
     * A quorum read has returned that version. Responses to earlier requests are ignored.
     *
     * @param inForceVersion version of the configuration in force here, 0 if there is none
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

    /** A configuration is in force. */
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

    /** Whether the configuration in force was confirmed as of that time or a later one. */
    boolean isConfirmedSince(long nanos) {
        return confirmed && confirmedAsOfNanos - nanos >= 0;
    }
}
