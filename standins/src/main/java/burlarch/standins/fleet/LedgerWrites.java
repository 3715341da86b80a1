package burlarch.standins.fleet;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Executes writes at the ledger. Writes with an idempotency key are deduplicated within the memory span of their
 * class; a bounded number of keys is remembered. Confined to the ledger's event loop.
 */
final class LedgerWrites {
    private static final int REMEMBERED_KEYS = 100_000;

    private final FleetContext context;
    /** When each write was executed, by idempotency key; the oldest entry is evicted first. */
    private final Map<String, Long> executedNanos = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > REMEMBERED_KEYS;
        }
    };

    LedgerWrites(FleetContext context) {
        this.context = context;
    }

    /**
     * Executes a write, unless its idempotency key was seen within the span.
     *
     * @return the body of the response; null if the write cannot be executed
     */
    byte[] write(NodeRequest request, long nowNanos) {
        if (request.idempotencyKey != null) {
            if (isRepeat(request, nowNanos)) {
                return (request.key + "=again").getBytes(StandardCharsets.UTF_8);
            }
            executedNanos.put(request.idempotencyKey, nowNanos);
        }
        byte[] body = context.ledgerValues().write(request.key);
        if (body != null) {
            context.onWrite().accept(request.key);
        }
        return body;
    }

    private boolean isRepeat(NodeRequest request, long nowNanos) {
        Long previousNanos = executedNanos.get(request.idempotencyKey);
        FleetPlan.RequestClass requestClass = context.classes().get(request.requestClass);
        return previousNanos != null
                && nowNanos - previousNanos <= requestClass.repeat().memorySpanNanos();
    }
}
