package burlarch.controller.distribution;

import burlarch.controller.register.RegisterClient;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Lets a newly connected router have the configuration only after a quorum read. Runs on the event loop.
 *
 * <p>Invariant <em>no configuration from hearsay</em>: a router is sent a configuration only over a connection that was
 * established before the start of a read that a quorum confirmed. A controller that is cut off from the others may hold
 * an old configuration, and its read does not succeed.
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

    /** A gate without waiting routers. */
    public QuorumReadGate(EventLoop loop, RegisterClient register, RouterPublisher publisher) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
    }

    /** A router is connected and waits for a read. */
    public void onRouterConnected(PeerConnection router) {
        waitingRouters.add(router);
        readIfNeeded();
    }

    /** A router is disconnected and waits no longer. */
    public void onRouterDisconnected(PeerConnection router) {
        waitingRouters.remove(router);
    }

    /** Starts one read for all routers that wait now; those that connect later wait for the next read. */
    private void readIfNeeded() {
        if (readState == ReadState.READING || waitingRouters.isEmpty()) {
            return;
        }
        readState = ReadState.READING;
        List<PeerConnection> served = new ArrayList<>(waitingRouters);
        register.read().whenComplete((state, failure) -> {
            readState = ReadState.IDLE;
            if (failure == null) {
                served.forEach(waitingRouters::remove);
                served.forEach(publisher::onQuorumRead);
                readIfNeeded();
            } else {
                loop.schedule(RETRY_DELAY_NANOS, this::readIfNeeded);
            }
        });
    }
}
