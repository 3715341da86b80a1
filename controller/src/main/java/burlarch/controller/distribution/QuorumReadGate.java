package burlarch.controller.distribution;

import burlarch.controller.register.RegisterClient;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Gate that withholds the configuration from a newly connected router until a quorum read has succeeded. Runs on the
 * event loop.
 *
 * <p>Invariant <em>no unconfirmed configuration</em>: a router is sent a configuration only over a connection that was
 * established before the start of a successful quorum read. A controller that is partitioned from the others may hold
 * an old configuration, but its reads fail.
 */
public final class QuorumReadGate {
    private static final long RETRY_DELAY_NANOS = 200_000_000;

    private enum ReadState {
        IDLE,
        READING
    }

    private final EventLoop loop;
    private final RegisterClient register;
    private final RouterPublisher publisher;
    private final Set<PeerConnection> waitingRouters = new LinkedHashSet<>();
    private ReadState readState = ReadState.IDLE;

    /** Creates a gate without waiting routers. */
    public QuorumReadGate(EventLoop loop, RegisterClient register, RouterPublisher publisher) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
    }

    /** Adds a newly connected router, which waits for a quorum read. */
    public void onRouterConnected(PeerConnection router) {
        waitingRouters.add(router);
        readIfNeeded();
    }

    /** Removes a disconnected router. */
    public void onRouterDisconnected(PeerConnection router) {
        waitingRouters.remove(router);
    }

    /** Starts one read for all routers that wait now; those that connect later wait for the next read. */
    private void readIfNeeded() {
        if (readState == ReadState.READING || waitingRouters.isEmpty()) {
            return;
        }
        readState = ReadState.READING;
        List<PeerConnection> batch = new ArrayList<>(waitingRouters);
        register.read().whenComplete((state, failure) -> {
            readState = ReadState.IDLE;
            if (failure == null) {
                batch.forEach(waitingRouters::remove);
                batch.forEach(publisher::onQuorumRead);
                readIfNeeded();
            } else {
                loop.schedule(RETRY_DELAY_NANOS, this::readIfNeeded);
            }
        });
    }
}
