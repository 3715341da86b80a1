package burlarch.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * The production event loop: one thread on a {@link Selector}. Each turn handles the ready channels, the due timers,
 * the tasks submitted so far and the tasks for the end of the turn, in this order. Then the thread sleeps until there
 * is more work.
 *
 * <p><b>Threads.</b> {@link #execute}, {@link #schedule}, {@link Timer#cancel}, {@link #nanoTime},
 * {@link #inEventLoop} and {@link #close} may be called by any thread. {@link #register} and {@link #executeAtTurnEnd}
 * may be called only by the loop's thread, which they check.
 *
 * <p><b>Errors.</b> Exceptions of a task, timer or channel handler are logged and do not affect anything else.
 *
 * <p>The thread is started by the constructor and ends after {@link #close}. The owner closes the loop.
 */
public final class SelectorEventLoop implements EventLoop, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Owned by the loop's thread, like {@code turnEndTasks}. */
    private final TimerQueue timers = new TimerQueue();

    private final ArrayDeque<Runnable> turnEndTasks = new ArrayDeque<>();
    /**
     * False only while the thread sleeps or is about to sleep, so that the system call for a wake-up is made only
     * then.
     */
    private final AtomicBoolean awake = new AtomicBoolean(true);

    private final AtomicLong timerSequence = new AtomicLong();
    private volatile boolean closed;

    /** Called on the loop when its channel is ready. */
    interface ReadyHandler {
        void ready(SelectionKey key) throws IOException;
    }

    /** A timer of this loop. */
    private final class LoopTimer extends TimerQueue.Entry implements Timer {
        private volatile boolean cancelled;

        LoopTimer(long dueNanos, long sequence, Runnable task) {
            super(dueNanos, sequence, task);
        }

        /**
         * Any thread. If called on the loop, the task does not run afterwards; if called by another thread, the task
         * may just have started.
         */
        @Override
        public void cancel() {
            cancelled = true;
            if (inEventLoop()) {
                timers.remove(this);
            } else {
                execute(() -> timers.remove(this));
            }
        }
    }

    /**
     * Creates the loop and starts its thread.
     *
     * @param name name of the thread
     */
    public SelectorEventLoop(String name) {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this::run, name);
        thread.start();
    }

    /** Runs the task in the next turn of the loop. Any thread. The task is dropped after {@link #close()}. */
    @Override
    public void execute(Runnable task) {
        if (closed) {
            return;
        }
        tasks.add(task);
        if (awake.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Runs the task on the loop after the delay. Any thread. */
    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        long dueNanos = nanoTime() + Math.max(0, delayNanos);
        LoopTimer timer = new LoopTimer(dueNanos, timerSequence.incrementAndGet(), task);
        if (inEventLoop()) {
            timers.add(timer);
        } else {
            execute(() -> addUnlessCancelled(timer));
        }
        return timer;
    }

    private void addUnlessCancelled(LoopTimer timer) {
        if (!timer.cancelled) {
            timers.add(timer);
        }
    }

    /** Returns {@link System#nanoTime()}. Any thread. */
    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    /** Returns whether the caller runs on the loop's thread. Any thread. */
    public boolean inEventLoop() {
        return Thread.currentThread() == thread;
    }

    /** Ends the loop after its current turn and closes all registered channels. Any thread. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    /** Waits until the loop's thread has ended. Any thread except the loop's. */
    void join(long timeoutMillis) throws InterruptedException {
        thread.join(timeoutMillis);
    }

    /**
     * Registers a handler that is called whenever the channel is ready for one of the operations. Loop's thread only.
     */
    SelectionKey register(SelectableChannel channel, int operations, ReadyHandler handler) throws IOException {
        requireInEventLoop();
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /** Runs the task before the loop sleeps again. Loop's thread only. */
    void executeAtTurnEnd(Runnable task) {
        requireInEventLoop();
        turnEndTasks.add(task);
    }

    private void requireInEventLoop() {
        if (!inEventLoop()) {
            throw new IllegalStateException("must be called on the event loop's thread");
        }
    }

    private void run() {
        try {
            while (!closed) {
                awaitWork();
                handleReadyChannels();
                runDueTimers();
                runTasks();
                runTurnEndTasks();
            }
        } finally {
            closeAll();
        }
    }

    /**
     * Sleeps until a channel is ready, a timer is due or a task is queued. A task cannot be missed: {@code awake} is
     * set to false before the queue is checked, so a thread that adds a task after the check wakes the selector.
     */
    private void awaitWork() {
        awake.set(false);
        try {
            if (!tasks.isEmpty()) {
                selector.selectNow();
            } else if (timers.isEmpty()) {
                selector.select();
            } else {
                awaitTimer(timers.nanosUntilFirst(nanoTime()));
            }
        } catch (IOException e) {
            Logger.error(e, "select failed: thread={}", thread.getName());
        }
        awake.set(true);
    }

    /**
     * Rounds the delay up to whole milliseconds: a timer must not run early, and a timeout of zero would wait
     * indefinitely.
     */
    private void awaitTimer(long delayNanos) throws IOException {
        if (delayNanos <= 0) {
            selector.selectNow();
        } else {
            selector.select((delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
        }
    }

    private void handleReadyChannels() {
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            if (key.isValid()) {
                runSafely(key);
            }
        }
    }

    private void runSafely(SelectionKey key) {
        try {
            ((ReadyHandler) key.attachment()).ready(key);
        } catch (IOException | RuntimeException | Error e) {
            Logger.error(e, "channel handler failed: thread={}", thread.getName());
        }
    }

    private void runDueTimers() {
        if (timers.isEmpty()) {
            return;
        }
        long nowNanos = nanoTime();
        Runnable task = timers.pollDue(nowNanos);
        while (task != null) {
            runSafely(task);
            task = timers.pollDue(nowNanos);
        }
    }

    /** Runs the tasks queued now. Tasks that they add wait for the next turn, so that no channel is starved. */
    private void runTasks() {
        for (int remaining = tasks.size(); remaining > 0; remaining--) {
            runSafely(tasks.poll());
        }
    }

    private void runTurnEndTasks() {
        while (!turnEndTasks.isEmpty()) {
            runSafely(turnEndTasks.poll());
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "task failed: thread={}", thread.getName());
        }
    }

    private void closeAll() {
        for (SelectionKey key : selector.keys()) {
            QuietCloser.close(key.channel());
        }
        QuietCloser.close(selector);
    }
}
