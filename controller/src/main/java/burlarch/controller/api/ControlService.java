package burlarch.controller.api;

import burlarch.coordination.registry.Instance;
import java.util.concurrent.CompletableFuture;

/**
 * The calls of the control API. Calls come on any thread; no method blocks.
 *
 * <p>A future fails with a {@link burlarch.controller.error.ControlException}; any other failure is reported as
 * {@link burlarch.controller.error.ErrorKind#UNCLEAR}. A future that isn't done within the API's timeout is cancelled,
 * and reported as unclear too.
 */
public interface ControlService {
    /**
     * Replaces the configuration. Done once the configuration is in force, also if it was before.
     *
     * @param body the JSON as received; the service owns it from now on
     * @param ifMatch the version that the configuration builds on, 0 for the first one
     */
    CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch);

    /** Changes named items of the configuration; otherwise as {@link #putConfiguration}. */
    CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch);

    /** The newest complete configuration as JSON, read from a quorum. Fails with NOT_FOUND while there is none. */
    CompletableFuture<byte[]> readConfiguration();

    /** Names a version of a model's weights. Done once the version is committed. */
    CompletableFuture<Void> nameWeights(String model, long version);

    /**
     * An instance's heartbeat. Done once it may be acknowledged: for a draining instance, once the connected routers
     * know of it.
     */
    CompletableFuture<Void> announce(Instance instance);

    /** An instance ends. Done once the connected routers know of it. */
    CompletableFuture<Void> leave(String id);
}
