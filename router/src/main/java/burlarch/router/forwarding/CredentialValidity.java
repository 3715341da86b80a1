package burlarch.router.forwarding;

/**
 * Whether the keys of the configuration in force may still be accepted. A key may have been revoked by a configuration
 * that has not reached this router. May be called on any thread.
 */
@FunctionalInterface
public interface CredentialValidity {
    /** For deployments in which the revocation of a key has no bound of its own. */
    CredentialValidity UNBOUNDED = receivedNanos -> true;

    /**
     * Whether a key may be accepted from a request.
     *
     * @param receivedNanos when the request was received, by {@link System#nanoTime}
     */
    boolean mayAccept(long receivedNanos);
}
