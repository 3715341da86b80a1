package burlarch.emulator.server;

import burlarch.emulator.model.ContinuousBatchModel;
import burlarch.emulator.model.GenerationRequest;
import burlarch.emulator.model.KvCache;
import burlarch.emulator.model.WeightsOrders;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Thread that executes the batch model of one engine in real time: it sleeps for the duration of each step, then
 * delivers the tokens to the streams of their requests. The lock of the engine's {@link KvCache} guards all state.
 */
final class BatchExecutor extends Thread {
    private static final long TOKEN_TIMEOUT_SECONDS = 30;

    private final KvCache cache;
    private final ContinuousBatchModel model;
    private final WeightsOrders orders;
    private final KvCacheEndpoints kvEndpoints;
    private final Map<String, Stream> streams = new HashMap<>();

    /** Queue of the decoded tokens of one request, in order. */
    static final class Stream {
        private final BlockingQueue<ContinuousBatchModel.Token> tokens = new LinkedBlockingQueue<>();

        /** Waits for the next token; throws InterruptedException if none is decoded before the timeout. */
        ContinuousBatchModel.Token next() throws InterruptedException {
            ContinuousBatchModel.Token token = tokens.poll(TOKEN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (token == null) {
                throw new InterruptedException("no token was decoded before the timeout");
            }
            return token;
        }
    }

    /** @param cache its lock also guards the model, the orders and the endpoints */
    BatchExecutor(
            String name,
            KvCache cache,
            ContinuousBatchModel model,
            WeightsOrders orders,
            KvCacheEndpoints kvEndpoints) {
        super("batch-" + name);
        setDaemon(true);
        this.cache = cache;
        this.model = model;
        this.orders = orders;
        this.kvEndpoints = kvEndpoints;
    }

    /** Offers a request to the batch; returns its stream, or null if the request is not accepted. */
    Stream offer(GenerationRequest request) {
        synchronized (cache) {
            completeDueOrder();
            if (orders.isLoading(request.model())
                    || streams.containsKey(request.id())
                    || model.offer(request) != ContinuousBatchModel.Offer.ACCEPTED) {
                return null;
            }
            Stream stream = new Stream();
            streams.put(request.id(), stream);
            cache.notifyAll();
            return stream;
        }
    }

    /** Removes a request, after its client has received the complete response or has closed the connection. */
    void cancel(GenerationRequest request) {
        synchronized (cache) {
            if (streams.remove(request.id()) != null) {
                model.cancel(request.id());
            }
        }
    }

    /** Completes the weights order in progress if it is due. The caller holds the lock of the cache. */
    void completeDueOrder() {
        String changedModel = orders.completeDue(System.nanoTime());
        if (changedModel != null) {
            cache.evictModel(changedModel);
            kvEndpoints.onChanged();
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                ContinuousBatchModel.Step step;
                synchronized (cache) {
                    while (model.isIdle()) {
                        cache.wait();
                    }
                    completeDueOrder();
                    step = model.step();
                    kvEndpoints.onChanged();
                }
                TimeUnit.NANOSECONDS.sleep(step.durationNanos());
                deliver(step);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void deliver(ContinuousBatchModel.Step step) {
        synchronized (cache) {
            for (ContinuousBatchModel.Token token : step.tokens()) {
                Stream stream = streams.get(token.request().id());
                if (stream != null) {
                    stream.tokens.add(token);
                }
            }
        }
    }
}
