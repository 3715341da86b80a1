package burlarch.controller.distribution;

import burlarch.controller.register.RegisterClient;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import burlarch.transport.PeerConnection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Responds to routers that ask which version of the configuration is the newest. Runs on the event loop.
 *
 * <p>Invariant <em>read after request</em>: a response carries the version of a quorum read that started after the
 * request was received. So the version is at least as new as any that was acknowledged before the router sent its
 * request. A read that no quorum confirms gets no response, and the router asks another controller.
 *
 * <p>Requests gather for a short time, and one read serves all of them; a router has at most one request here.
 */
public final class ConfigurationConfirmationService {
    /** Reads write to the acceptors' disks and compete with changes, so there are only a few in a second. */
    static final long BATCH_DELAY_NANOS = 250_000_000;

    private enum State {
        IDLE,
        GATHERING,
        READING
    }

    private final EventLoop loop;
    private final RegisterClient register;
    /** The number of the newest request of each router that waits. */
    private Map<PeerConnection, Long> waiting = new LinkedHashMap<>();

    private State state = State.IDLE;

    /** A service that nobody has asked yet. */
    public ConfigurationConfirmationService(EventLoop loop, RegisterClient register) {
        this.loop = loop;
        this.register = register;
    }

    /** A router asks. */
    public void onRequest(PeerConnection router, long request) {
        waiting.put(router, request);
        gather();
    }

    /** A router is disconnected and waits no longer. */
    public void onRouterDisconnected(PeerConnection router) {
        waiting.remove(router);
    }

    private void gather() {
        if (state == State.IDLE && !waiting.isEmpty()) {
            state = State.GATHERING;
            loop.schedule(BATCH_DELAY_NANOS, this::read);
        }
    }

    private void read() {
        Map<PeerConnection, Long> served = waiting;
        waiting = new LinkedHashMap<>();
        state = State.READING;
        register.read().whenComplete((read, failure) -> {
            state = State.IDLE;
            if (failure == null) {
                served.forEach((router, request) ->
                        router.send(new ConfigurationConfirmed(request, read.configurationVersion())));
            }
            gather();
        });
    }
}
