package burlarch.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * One thread that does all of a node's work in turn: network events, timers and tasks. It sleeps until there
 * is something to do. A task that throws is logged and the loop goes on.
 */
public final class SelectorEventLoop implements EventLoop, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final TreeSet<Timer> timers = new TreeSet<>();
    private final ArrayDeque<Runnable> turnEnds = new ArrayDeque<>();
    /** False only while the thread sleeps or is about to, so that a wake-up is paid for only then. */
    private final AtomicBoolean awake = new AtomicBoolean(true);

    private final AtomicLong timerSequence = new AtomicLong();
    private volatile boolean closed;

    /** Told on the loop that its channel is ready. */
    interface ReadyHandler {
        void ready(SelectionKey key) throws IOException;
    }

    /** A task that is due later. */
    public final class Timer implements EventLoop.Timer, Comparable<Timer> {
        private final long due;
        private final long sequence;
        private final Runnable task;
        private volatile boolean cancelled;

        private Timer(long due, long sequence, Runnable task) {
            this.due = due;
            this.sequence = sequence;
            this.task = task;
        }

        /** May be called at any time from any thread; on the loop it holds at once. */
        @Override
        public void cancel() {
            cancelled = true;
            if (inEventLoop()) {
                timers.remove(this);
            } else {
                execute(() -> timers.remove(this));
            }
        }

        @Override
        public int compareTo(Timer other) {
            int byDue = Long.signum(due - other.due);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }

    /** Starts the thread. */
    public SelectorEventLoop(String name) {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = new Thread(this::run, name);
        thread.start();
    }

    /** Runs the task on the loop, soon; from any thread. After {@link #close()} it is dropped. */
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

    /** Runs the task on the loop once the delay is over; from any thread. */
    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        long due = nanoTime() + Math.max(0, delayNanos);
        Timer timer = new Timer(due, timerSequence.incrementAndGet(), task);
        if (inEventLoop()) {
            timers.add(timer);
        } else {
            execute(() -> addUnlessCancelled(timer));
        }
        return timer;
    }

    private void addUnlessCancelled(Timer timer) {
        if (!timer.cancelled) {
            timers.add(timer);
        }
    }

    /** The steady clock that timers go by. */
    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    /** Whether the caller runs on the loop. */
    public boolean inEventLoop() {
        return Thread.currentThread() == thread;
    }

    /** Ends the loop after its present turn; channels that are registered are closed. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    /** Waits for the thread's end; not to be called on the loop. */
    void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    /** To be called on the loop. */
    SelectionKey register(SelectableChannel channel, int operations, ReadyHandler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /** Runs the task on the loop before it sleeps again. To be called on the loop. */
    void executeAtTurnEnd(Runnable task) {
        turnEnds.add(task);
    }

    private void run() {
        try {
            while (!closed) {
                await();
                handleReady();
                runTimers();
                runTasks();
                runTurnEnds();
            }
        } finally {
            closeAll();
        }
    }

    private void await() {
        awake.set(false);
        try {
            if (!tasks.isEmpty()) {
                selector.selectNow();
            } else if (timers.isEmpty()) {
                selector.select();
            } else {
                awaitTimer(timers.first().due - nanoTime());
            }
        } catch (IOException e) {
            Logger.error(e, "Selecting failed");
        }
        awake.set(true);
    }

    private void awaitTimer(long nanos) throws IOException {
        if (nanos <= 0) {
            selector.selectNow();
        } else {
            selector.select((nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
        }
    }

    private void handleReady() {
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
            Logger.error(e, "Handling a channel failed");
        }
    }

    private void runTimers() {
        if (timers.isEmpty()) {
            return;
        }
        long now = nanoTime();
        while (!timers.isEmpty() && timers.first().due - now <= 0) {
            runSafely(timers.pollFirst().task);
        }
    }

    /** Those that are there now; what they add waits for the next turn, so that no channel is starved. */
    private void runTasks() {
        for (int left = tasks.size(); left > 0; left--) {
            runSafely(tasks.poll());
        }
    }

    private void runTurnEnds() {
        while (!turnEnds.isEmpty()) {
            runSafely(turnEnds.poll());
        }
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "A task failed");
        }
    }

    private void closeAll() {
        for (SelectionKey key : selector.keys()) {
            closeQuietly(key.channel());
        }
        closeQuietly(selector);
    }

    static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            Logger.debug(e, "Closing failed");
        }
    }
}
