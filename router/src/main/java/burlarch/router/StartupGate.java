package burlarch.router;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Requests that came to a router that does not know yet where they go. They wait for that: a refusal would
 * use up a try of the client for what a moment brings. Opens once and for good. Bounded by {@link #MOST}.
 */
final class StartupGate {
    /** Requests beyond this number do not wait. */
    static final int MOST = 512;
    /** Clients look for another router where one has not read a request for a second. */
    static final long MOST_HELD_MILLIS = 800;

    private final Scheduler scheduler;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private boolean open;

    StartupGate(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Runs {@code next} on opening or after {@link #MOST_HELD_MILLIS}; at once if open or full. */
    void pass(Runnable next) {
        if (!keep(next)) {
            next.run();
            return;
        }
        scheduler.schedule(
                () -> {
                    if (takeBack(next)) {
                        next.run();
                    }
                },
                MOST_HELD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Whether {@link #pass} lets everything through at once, from now on. */
    synchronized boolean isOpen() {
        return open;
    }

    /** Requests that wait now. */
    synchronized int count() {
        return waiting.size();
    }

    private synchronized boolean keep(Runnable next) {
        return !open && waiting.size() < MOST && waiting.add(next);
    }

    private synchronized boolean takeBack(Runnable next) {
        return waiting.remove(next);
    }

    /** Lets all that waits go on, in the order in which it came. */
    void open() {
        List<Runnable> all;
        synchronized (this) {
            open = true;
            all = List.copyOf(waiting);
            waiting.clear();
        }
        all.forEach(Runnable::run);
    }
}
