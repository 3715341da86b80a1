package burlarch.fleet.controller;

import burlarch.transport.Link;
import burlarch.transport.FrameCodec;
import burlarch.transport.Loop;
import burlarch.transport.NodeMessage.KeptParts;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Passes on what one router read of kept parts to all others that are connected, unread. What comes within a
 * short time leaves together, so that each router is written to, and wakes, once for many. Lives on the loop.
 */
final class KeptForwarder {
    private static final long DELAY_NANOS = 50_000_000;
    /** What may wait; with more it leaves at once. */
    private static final int MOST_WAITING = 256;

    private final Loop loop;
    private final FrameCodec codec;
    private final Set<Link> routers = new HashSet<>();
    private List<Waiting> waiting = new ArrayList<>();

    private record Waiting(Link from, byte[] frame) {
    }

    KeptForwarder(Loop loop, FrameCodec codec) {
        this.loop = loop;
        this.codec = codec;
    }

    void onRouterUp(Link router) {
        routers.add(router);
    }

    void onRouterDown(Link router) {
        routers.remove(router);
    }

    void onKeptParts(Link from, KeptParts parts) {
        waiting.add(new Waiting(from, codec.encode(parts)));
        if (waiting.size() >= MOST_WAITING) {
            forward();
        } else if (waiting.size() == 1) {
            loop.schedule(DELAY_NANOS, this::forward);
        }
    }

    private void forward() {
        List<Waiting> leaving = waiting;
        waiting = new ArrayList<>();
        for (Link router : routers) {
            for (int i = 0; i < leaving.size(); i++) {
                Waiting one = leaving.get(i);
                if (one.from() != router) {
                    router.sendFrame(one.frame());
                }
            }
        }
    }
}
