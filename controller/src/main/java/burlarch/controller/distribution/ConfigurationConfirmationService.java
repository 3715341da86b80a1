package burlarch.controller.distribution;

import burlarch.controller.register.RegisterClient;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import burlarch.transport.PeerConnection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Service that confirms the newest version of the configuration to routers by a quorum read. Runs on the event loop.
 *
 * <p>Invariant <em>read after request</em>: a response carries the version of a quorum read that started after the
 * request was received. The version is therefore at least as new as any that was acknowledged before the router sent
 * its request. If the read fails, no response is sent, and the router asks another controller.
 *
 * <p>Requests are batched for a short time and served by one read. At most one request per router is pending.
 */
public final class ConfigurationConfirmationService {
    /** Limits the rate of quorum reads, which write to the acceptors' disks and compete with changes. */
    static final long BATCH_DELAY_NANOS = 250_000_000;

    private enum State {
        IDLE,
        BATCHING,
        READING
    }

    private final EventLoop loop;
    private final RegisterClient register;
    /** The number of the newest pending request of each router. */
    private Map<PeerConnection, Long> pending = new LinkedHashMap<>();

    private State state = State.IDLE;

    /** Creates a service without pending requests. */
    public ConfigurationConfirmationService(EventLoop loop, RegisterClient register) {
        this.loop = loop;
        this.register = register;
    }

    /** Handles a router's request; replaces an earlier pending one of the same router. */
    public void onRequest(PeerConnection router, long request) {
        pending.put(router, request);
        scheduleRead();
    }

    /** Drops the pending request of a disconnected router. */
    public void onRouterDisconnected(PeerConnection router) {
        pending.remove(router);
    }

    private void scheduleRead() {
        if (state == State.IDLE && !pending.isEmpty()) {
            state = State.BATCHING;
            loop.schedule(BATCH_DELAY_NANOS, this::readAndRespond);
        }
    }

    private void readAndRespond() {
        Map<PeerConnection, Long> batch = pending;
        pending = new LinkedHashMap<>();
        state = State.READING;
        register.read().whenComplete((newest, failure) -> {
            state = State.IDLE;
            if (failure == null) {
                batch.forEach((router, request) ->
                        router.send(new ConfigurationConfirmed(request, newest.configurationVersion())));
            }
            scheduleRead();
        });
    }
}
