package burlarch.router;

import burlarch.engine.KvUpdate;
import burlarch.engine.KvUpdateListener;
import burlarch.router.prefixcache.KvUpdateBatchCodec;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import burlarch.router.prefixcache.OutgoingBatch;
import burlarch.transport.NodeMessage.PrefixCacheEvents;
import burlarch.transport.PeerConnection;
import burlarch.transport.SelectorEventLoop;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Takes in what this router read of kept parts and what others did, and passes on the former through one
 * controller where the others do not read it themselves.
 */
final class PrefixCacheEventPublisher implements KvUpdateListener {
    private final SelectorEventLoop loop;
    private final PrefixIndexUpdater feed;
    private final OutgoingBatch batch = new OutgoingBatch();
    private volatile Predicate<String> shared = source -> false;
    private Supplier<PeerConnection> controller = () -> null;

    PrefixCacheEventPublisher(SelectorEventLoop loop, PrefixIndexUpdater feed) {
        this.loop = loop;
        this.feed = feed;
    }

    /**
     * To be called once, on the loop.
     *
     * @param sharedSources tells from any thread whether others wait to be told of that source
     * @param through the controller to send through; null where none is connected
     */
    void start(Predicate<String> sharedSources, Supplier<PeerConnection> through) {
        controller = through;
        shared = sharedSources;
    }

    @Override
    public void onUpdate(KvUpdate news) {
        if (feed.takeIn(news) && shared.test(news.events().source())) {
            loop.execute(() -> passOn(news));
        }
    }

    /** Another router's batch came. */
    void onBatch(byte[] bytes) {
        List<KvUpdate> told;
        try {
            told = KvUpdateBatchCodec.decode(bytes);
        } catch (MalformedBatchException e) {
            Logger.warn("kept parts that cannot be read: {}", e.getMessage());
            return;
        }
        for (int i = 0; i < told.size(); i++) {
            feed.takeIn(told.get(i));
        }
    }

    private void passOn(KvUpdate news) {
        boolean first = batch.add(news);
        if (batch.isFull()) {
            send();
        } else if (first) {
            loop.schedule(OutgoingBatch.DELAY_NANOS, this::send);
        }
    }

    private void send() {
        List<KvUpdate> waiting = batch.take();
        PeerConnection through = waiting.isEmpty() ? null : controller.get();
        if (through != null) {
            through.send(new PrefixCacheEvents(KvUpdateBatchCodec.encode(waiting)));
        }
    }
}
