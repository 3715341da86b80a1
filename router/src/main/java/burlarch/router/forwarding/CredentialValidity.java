package burlarch.router.forwarding;

/**
 * Decides whether the API keys of the configuration in force may still be accepted. A key may have been revoked by a
 * configuration that has not reached this router yet. May be called on any thread.
 */
@FunctionalInterface
public interface CredentialValidity {
    /** Always accepts keys: for deployments without a time limit for the revocation of keys. */
    CredentialValidity UNBOUNDED = receivedNanos -> true;

    /**
     * Whether the API key of a request may be accepted.
     *
     * @param receivedNanos when the request was received, by {@link System#nanoTime}
     */
    boolean mayAccept(long receivedNanos);
}
