package burlarch.proxy;

import java.util.function.Supplier;

/**
 * The program's log on standard error, for events that an operator should know of; never one line per request.
 * Limits the number of lines per second. Safe for use by any thread.
 */
public final class Log {
    private static final int LINES_PER_SECOND = 5;
    /** Texts that may wait to be written; further ones are dropped and counted. */
    private static final int MAX_QUEUED_TEXTS = 256;

    private static long secondStartNanos = System.nanoTime();
    private static int linesThisSecond;
    private static int dropped;
    /** Null while each line is written on its caller's thread. */
    private static LogWriter writer;

    private Log() {}

    /**
     * Starts a thread that does all writing from now on. For features that log so much that writing on the event
     * loop could block it.
     */
    static synchronized void writeInBackground() {
        if (writer == null) {
            writer = new LogWriter(System.err, MAX_QUEUED_TEXTS);
            Thread thread = new Thread(writer, "burlarch-log");
            thread.setDaemon(true);
            thread.start();
        }
    }

    /**
     * Writes one line. Lines beyond the rate limit are dropped and counted, so that a fault in every request
     * cannot block the event loop.
     */
    public static synchronized void line(String text) {
        long nowNanos = System.nanoTime();
        if (nowNanos - secondStartNanos >= 1_000_000_000L) {
            secondStartNanos = nowNanos;
            if (dropped > 0) {
                write("burlarch: " + dropped + " log lines dropped");
            }
            linesThisSecond = 0;
            dropped = 0;
        }
        if (linesThisSecond++ >= LINES_PER_SECOND || !write("burlarch: " + text)) {
            dropped++;
        }
    }

    private static boolean write(String line) {
        if (writer != null) {
            return writer.offer(() -> line + System.lineSeparator());
        }
        System.err.println(line);
        return true;
    }

    /**
     * Queues text for the log's thread, which generates and writes it unchanged. Not subject to the rate limit.
     * Only valid after {@link #writeInBackground}.
     *
     * @return false if the text was dropped because the queue is full
     */
    public static synchronized boolean enqueue(Supplier<String> text) {
        boolean queued = writer.offer(text);
        dropped += queued ? 0 : 1;
        return queued;
    }

    /** Waits until the log's thread has written everything queued, at most the given time. */
    static void flush(long timeoutMs) throws InterruptedException {
        LogWriter background;
        synchronized (Log.class) {
            background = writer;
        }
        if (background != null) {
            background.flush(timeoutMs);
        }
    }
}
