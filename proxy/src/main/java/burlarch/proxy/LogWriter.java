package burlarch.proxy;

import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes to the log on a thread of its own, each text whole. Guards against a reader of standard error that
 * has stopped reading: whoever writes there then waits, and must not be the loop.
 */
final class LogWriter implements Runnable {
    private final PrintStream out;
    private final BlockingQueue<Supplier<String>> waiting;
    private volatile boolean busy;

    LogWriter(PrintStream out, int waitingMost) {
        this.out = out;
        this.waiting = new LinkedBlockingQueue<>(waitingMost);
    }

    /** Leaves a text to be made and written; false where too many wait. */
    boolean offer(Supplier<String> text) {
        return waiting.offer(text);
    }

    @Override
    public void run() {
        try {
            while (true) {
                busy = !waiting.isEmpty();
                Supplier<String> text = waiting.take();
                busy = true;
                try {
                    out.print(text.get());
                    out.flush();
                } catch (RuntimeException e) {
                    out.println("burlarch: a text for the log failed: " + e);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns when all is written, or after that time. */
    void flush(long mostMs) throws InterruptedException {
        long startNanos = System.nanoTime();
        while ((busy || !waiting.isEmpty()) && System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(mostMs)) {
            Thread.sleep(1);
        }
    }
}
