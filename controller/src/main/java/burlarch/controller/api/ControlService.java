package burlarch.controller.api;

import burlarch.coordination.registry.Instance;
import java.util.concurrent.CompletableFuture;

/**
 * The operations of the control API. Methods may be called on any thread and must not block.
 *
 * <p>A future fails with a {@link burlarch.controller.error.ControlException}; any other failure is reported as
 * {@link burlarch.controller.error.ErrorKind#UNCLEAR}. A future that does not complete within the API's timeout is
 * cancelled, and is reported as unclear too.
 */
public interface ControlService {
    /**
     * Replaces the configuration. The future completes once the configuration is in force, which it may have been
     * before.
     *
     * @param body the JSON as received; the service owns it from now on
     * @param ifMatch the version that the configuration builds on, 0 for the first one
     */
    CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch);

    /** Applies a patch to the configuration; otherwise as {@link #putConfiguration}. */
    CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch);

    /** Reads the newest complete configuration from a quorum, as JSON. Fails with NOT_FOUND while there is none. */
    CompletableFuture<byte[]> readConfiguration();

    /** Sets the target version of a model's weights. The future completes once the version is committed. */
    CompletableFuture<Void> setWeightsVersion(String model, long version);

    /**
     * Handles an instance's heartbeat. The future completes once the heartbeat may be acknowledged; for a draining
     * instance, that is once the connected routers know that it drains.
     */
    CompletableFuture<Void> announce(Instance instance);

    /** Removes an instance that ends. The future completes once the connected routers know of it. */
    CompletableFuture<Void> leave(String id);
}
