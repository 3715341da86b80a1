package burlarch.router.lifecycle;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Holds back requests that arrive before the router knows where requests go. They wait, because a rejection
 * would cost the client one of its attempts for a state that lasts a moment. The gate opens once and stays
 * open; while closed it holds at most {@link #MAX_WAITING} requests. May be called on any thread; guarded by
 * this.
 */
public final class StartupGate {
    /** Requests beyond this number do not wait. */
    public static final int MAX_WAITING = 512;
    /** Clients turn to another router if their request has not been read within one second. */
    public static final long MAX_WAIT_MILLIS = 800;

    private final Scheduler scheduler;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private boolean open;

    /** A closed gate; the scheduler ends the wait of single requests. */
    public StartupGate(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Runs {@code request} when the gate opens or after {@link #MAX_WAIT_MILLIS}, whichever comes first; at
     * once if the gate is open or full.
     */
    public void pass(Runnable request) {
        pass(request, MAX_WAIT_MILLIS);
    }

    /**
     * As {@link #pass(Runnable)}, for a request whose client waits no longer than that.
     *
     * @param clientMillis how long the client waits; the request waits at most for that
     */
    public void pass(Runnable request, long clientMillis) {
        if (!enqueue(request)) {
            request.run();
            return;
        }
        scheduler.schedule(
                () -> {
                    if (dequeue(request)) {
                        request.run();
                    }
                },
                Math.max(0, Math.min(MAX_WAIT_MILLIS, clientMillis)),
                TimeUnit.MILLISECONDS);
    }

    /** Whether {@link #pass} runs every request at once from now on. */
    public synchronized boolean isOpen() {
        return open;
    }

    /** Number of requests that wait now. */
    public synchronized int waitingCount() {
        return waiting.size();
    }

    private synchronized boolean enqueue(Runnable request) {
        return !open && waiting.size() < MAX_WAITING && waiting.add(request);
    }

    private synchronized boolean dequeue(Runnable request) {
        return waiting.remove(request);
    }

    /** Opens the gate and runs all waiting requests in the order of their arrival. */
    public void open() {
        List<Runnable> released;
        synchronized (this) {
            open = true;
            released = List.copyOf(waiting);
            waiting.clear();
        }
        released.forEach(Runnable::run);
    }
}
