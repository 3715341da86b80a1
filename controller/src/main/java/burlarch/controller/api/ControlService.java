package burlarch.controller.api;

import burlarch.coordination.registry.Instance;
import java.util.concurrent.CompletableFuture;

/**
 * What the control interface calls. Nothing here blocks; calls come on any thread. A future fails with a
 * {@link burlarch.controller.error.ControlException}; any other failure is told as a call without a clear end. A
 * future that isn't done within the interface's limit is cancelled and answered as without a clear end too.
 */
public interface ControlService {
    /**
     * Done once the configuration is in force, or was before.
     *
     * @param body JSON as it came; the service owns it
     * @param ifMatch the version that it builds on, 0 for the first
     */
    CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch);

    /** As {@link #putConfiguration}, for named items of the configuration. */
    CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch);

    /** The newest configuration, whole, as JSON, by a quorum. Fails with NOT_FOUND while there is none. */
    CompletableFuture<byte[]> readConfiguration();

    /** Done once the fleet knows of the version. */
    CompletableFuture<Void> nameWeights(String model, long version);

    /** Done once the announcement may be acknowledged: for one that drains, once the others know of it. */
    CompletableFuture<Void> announce(Instance instance);

    /** Done once the others know that the instance is gone. */
    CompletableFuture<Void> leave(String id);
}
