package burlarch.emulator.server;

import burlarch.emulator.model.KvEventLog;
import burlarch.emulator.model.KvMemory;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;

/** Stands in for a store of kept prompts. No list and no route holds it. */
public final class StoreServer extends StandIn {
    private final KvCalls calls;

    /** @param tokens that it has room for */
    public StoreServer(InstanceInfo info, RunBook book, int tokens, int maxInFlight, long epoch) throws IOException {
        super(info, book);
        this.calls = new KvCalls(new KvMemory(1, tokens, new KvEventLog(epoch, EngineServer.EVENTS)), maxInFlight);
    }

    @Override
    Map<String, Long> versions() {
        return Map.of();
    }

    @Override
    boolean serveOwn(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
        return calls.serve(exchange, path);
    }

    @Override
    void serve(HttpExchange exchange) throws IOException {
        Answers.whole(exchange, 404, "");
    }
}
