package burlarch.controller.distribution;

import burlarch.controller.register.RegisterClient;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Lets a router that has just connected have the configuration once a quorum confirmed the newest one: a
 * controller that is cut off from the others may hold an old one. One read serves all routers that waited at
 * its start.
 */
public final class QuorumReadGate {
    private static final long RETRY_DELAY_NANOS = 200_000_000;

    private final EventLoop loop;
    private final RegisterClient register;
    private final RouterPublisher publisher;
    private final Set<PeerConnection> waitingRouters = new LinkedHashSet<>();
    private boolean reading;

    public QuorumReadGate(EventLoop loop, RegisterClient register, RouterPublisher publisher) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
    }

    public void onRouterUp(PeerConnection router) {
        waitingRouters.add(router);
        readNext();
    }

    public void onRouterDown(PeerConnection router) {
        waitingRouters.remove(router);
    }

    private void readNext() {
        if (reading || waitingRouters.isEmpty()) {
            return;
        }
        reading = true;
        List<PeerConnection> served = new ArrayList<>(waitingRouters);
        register.read().whenComplete((state, failure) -> {
            reading = false;
            if (failure == null) {
                served.forEach(waitingRouters::remove);
                served.forEach(publisher::onQuorumRead);
                readNext();
            } else {
                loop.schedule(RETRY_DELAY_NANOS, this::readNext);
            }
        });
    }
}
