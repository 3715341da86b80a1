package burlarch.controller;

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
final class ConfirmedReads {
    private static final long RETRY_NANOS = 200_000_000;

    private final EventLoop loop;
    private final StateRegister register;
    private final RouterPublisher publisher;
    private final Set<PeerConnection> waiting = new LinkedHashSet<>();
    private boolean reading;

    ConfirmedReads(EventLoop loop, StateRegister register, RouterPublisher publisher) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
    }

    void onRouterUp(PeerConnection router) {
        waiting.add(router);
        readNext();
    }

    void onRouterDown(PeerConnection router) {
        waiting.remove(router);
    }

    private void readNext() {
        if (reading || waiting.isEmpty()) {
            return;
        }
        reading = true;
        List<PeerConnection> served = new ArrayList<>(waiting);
        register.read().whenComplete((state, failure) -> {
            reading = false;
            if (failure == null) {
                served.forEach(waiting::remove);
                served.forEach(publisher::onConfirmed);
                readNext();
            } else {
                loop.schedule(RETRY_NANOS, this::readNext);
            }
        });
    }
}
