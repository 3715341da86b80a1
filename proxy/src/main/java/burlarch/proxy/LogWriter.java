package burlarch.proxy;

import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes queued texts to the log on a thread of its own, each in one piece. If the reader of standard error stops
 * reading, writes to it block; they then block this thread and not the event loop.
 */
final class LogWriter implements Runnable {
    private final PrintStream out;
    private final BlockingQueue<Supplier<String>> queue;
    private volatile boolean busy;

    LogWriter(PrintStream out, int maxQueued) {
        this.out = out;
        this.queue = new LinkedBlockingQueue<>(maxQueued);
    }

    /** Queues a text to be generated and written; returns false if the queue is full. */
    boolean offer(Supplier<String> text) {
        return queue.offer(text);
    }

    @Override
    public void run() {
        try {
            while (true) {
                busy = !queue.isEmpty();
                Supplier<String> text = queue.take();
                busy = true;
                try {
                    out.print(text.get());
                    out.flush();
                } catch (RuntimeException e) {
                    out.println("burlarch: generating a log text failed: " + e);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns when everything queued has been written, or after the given time. */
    void flush(long timeoutMs) throws InterruptedException {
        long startNanos = System.nanoTime();
        while ((busy || !queue.isEmpty())
                && System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMs)) {
            Thread.sleep(1);
        }
    }
}
