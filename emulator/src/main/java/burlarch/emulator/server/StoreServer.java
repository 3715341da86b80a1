package burlarch.emulator.server;

import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.KvEventLog;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;

/** Emulated KV store, which caches prompt segments. It is not announced to controllers, and no route leads to it. */
public final class StoreServer extends EmulatedInstance {
    private final KvCacheEndpoints kvEndpoints;

    /** @param capacityTokens capacity in tokens */
    public StoreServer(
            InstanceIdentity identity, ExecutionListener executions, int capacityTokens, int maxInFlight, long epoch)
            throws IOException {
        super(identity, executions);
        this.kvEndpoints = new KvCacheEndpoints(
                new KvCache(1, capacityTokens, new KvEventLog(epoch, EngineServer.MAX_RETAINED_EVENTS)), maxInFlight);
    }

    @Override
    Map<String, Long> versions() {
        return Map.of();
    }

    @Override
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return kvEndpoints.serve(exchange, path);
    }

    @Override
    void serve(HttpExchange exchange) throws IOException {
        Responses.send(exchange, 404, "");
    }
}
