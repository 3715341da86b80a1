package burlarch.router.prefixcache;

import burlarch.engine.KvUpdate;
import burlarch.engine.KvUpdateListener;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import burlarch.transport.NodeMessage.PrefixCacheEvents;
import burlarch.transport.PeerConnection;
import burlarch.transport.SelectorEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Publisher of prefix-cache updates. It applies the updates that this router has read from its sources and those that
 * other routers have published. It publishes the former through one controller if the other routers do not read the
 * source themselves.
 */
public final class PrefixCacheEventPublisher implements KvUpdateListener {
    private final SelectorEventLoop loop;
    private final PrefixIndexUpdater index;
    /** Used on the loop only. */
    private final OutgoingBatch batch = new OutgoingBatch();

    private volatile Predicate<String> isShared = source -> false;
    private Supplier<Optional<PeerConnection>> controller = Optional::empty;

    /** Creates a publisher that applies updates, but publishes none until it is started. */
    public PrefixCacheEventPublisher(SelectorEventLoop loop, PrefixIndexUpdater index) {
        this.loop = loop;
        this.index = index;
    }

    /**
     * Starts to publish. Must be called once, on the event loop.
     *
     * @param sharedSources whether other routers depend on the published updates of a source; called on any thread
     * @param publishingController supplies the controller to send through, empty if none is connected
     */
    public void start(Predicate<String> sharedSources, Supplier<Optional<PeerConnection>> publishingController) {
        controller = publishingController;
        isShared = sharedSources;
    }

    @Override
    public void onUpdate(KvUpdate update) {
        if (index.apply(update) && isShared.test(update.events().source())) {
            loop.execute(() -> publish(update));
        }
    }

    /** Called when another router has published a batch. */
    public void onBatch(byte[] bytes) {
        List<KvUpdate> updates;
        try {
            updates = KvUpdateBatchCodec.decode(bytes);
        } catch (MalformedBatchException e) {
            Logger.warn("malformed prefix-cache batch ignored: error={}", e.getMessage());
            return;
        }
        for (int i = 0; i < updates.size(); i++) {
            index.apply(updates.get(i));
        }
    }

    private void publish(KvUpdate update) {
        boolean isFirst = batch.add(update);
        if (batch.isFull()) {
            send();
        } else if (isFirst) {
            loop.schedule(OutgoingBatch.MAX_DELAY_NANOS, this::send);
        }
    }

    private void send() {
        List<KvUpdate> updates = batch.take();
        if (updates.isEmpty()) {
            return;
        }
        controller
                .get()
                .ifPresent(connection -> connection.send(new PrefixCacheEvents(KvUpdateBatchCodec.encode(updates))));
    }
}
