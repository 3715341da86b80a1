package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's ingress of one zone. Once a second it asks each router whether it is ready; after two misses the router
 * gets no new connections until it answers 200 again. If fewer than half of the routers are in, it uses them all.
 */
final class Ingress {
    private static final long ASK_MILLIS = 1000;
    private static final int MISSES_UNTIL_OUT = 2;

    private final Fleet fleet;
    private final int routerCount;
    private final int[] misses;

    Ingress(Fleet fleet, int routerCount) {
        this.fleet = fleet;
        this.routerCount = routerCount;
        this.misses = new int[routerCount + 1];
    }

    /** Starts to ask; each router is asked on a thread of its own. */
    void start() {
        for (int i = 1; i <= routerCount; i++) {
            int router = i;
            Thread thread = new Thread(() -> ask(router), "ask-" + router);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void ask(int router) {
        try {
            while (true) {
                onAnswer(router, fleet.isReady(router));
                Thread.sleep(ASK_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void onAnswer(int router, boolean ready) {
        misses[router] = ready ? 0 : misses[router] + 1;
    }

    /** Returns the front address that a client's new connection is handed to; a hash of the client picks it. */
    synchronized InetSocketAddress pick(int clientHash) {
        List<Integer> in = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        for (int router = 1; router <= routerCount; router++) {
            all.add(router);
            if (misses[router] < MISSES_UNTIL_OUT) {
                in.add(router);
            }
        }
        List<Integer> used = 2 * in.size() < routerCount ? all : in;
        return fleet.front(used.get(Math.floorMod(clientHash, used.size())));
    }
}
