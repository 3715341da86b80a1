package burlarch.emulator.server;

import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.KvEventLog;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;

/** Emulates a store of cached prompt segments. It is not announced and no route leads to it. */
public final class StoreServer extends EmulatedInstance {
    private final KvCacheEndpoints calls;

    /** @param tokens its capacity */
    public StoreServer(InstanceIdentity info, ExecutionListener executions, int tokens, int maxInFlight, long epoch)
            throws IOException {
        super(info, executions);
        this.calls =
                new KvCacheEndpoints(new KvCache(1, tokens, new KvEventLog(epoch, EngineServer.EVENTS)), maxInFlight);
    }

    @Override
    Map<String, Long> versions() {
        return Map.of();
    }

    @Override
    boolean serveControlCall(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return calls.serve(exchange, path);
    }

    @Override
    void serve(HttpExchange exchange) throws IOException {
        Responses.send(exchange, 404, "");
    }
}
