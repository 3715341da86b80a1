package burlarch.router.lifecycle;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Gate that holds back requests which arrive before the router has its configuration and instances. Requests wait
 * because a rejection would cost the client one of its attempts, although this state is brief. The gate opens once
 * and stays open; while closed it holds at most {@link #MAX_WAITING} requests. May be called on any thread; guarded
 * by this.
 */
public final class StartupGate {
    /** Maximum number of waiting requests; further requests do not wait. */
    public static final int MAX_WAITING = 512;
    /** Less than one second, after which clients turn to another router if their request has not been read. */
    public static final long MAX_WAIT_MILLIS = 800;

    private final Scheduler scheduler;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private boolean open;

    /** Creates a closed gate; the scheduler limits the wait of each request. */
    public StartupGate(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Runs {@code request} when the gate opens or after {@link #MAX_WAIT_MILLIS}, whichever comes first; runs it
     * immediately if the gate is open or full.
     */
    public void pass(Runnable request) {
        pass(request, MAX_WAIT_MILLIS);
    }

    /**
     * As {@link #pass(Runnable)}, with an upper limit for the wait.
     *
     * @param clientTimeoutMillis time for which the client waits for a response; the request waits no longer
     */
    public void pass(Runnable request, long clientTimeoutMillis) {
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
                Math.max(0, Math.min(MAX_WAIT_MILLIS, clientTimeoutMillis)),
                TimeUnit.MILLISECONDS);
    }

    /** Whether {@link #pass} runs every request immediately. */
    public synchronized boolean isOpen() {
        return open;
    }

    /** Number of requests that are waiting. */
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
