package burlarch.proxy;

import java.util.function.Supplier;

/** The program's log on standard error: a line for what an operator should know, never one a request. */
public final class Log {
    private static final int LINES_PER_SECOND = 5;
    /** Texts that may wait for a reader; what comes beyond is left out and counted. */
    private static final int WAITING_MOST = 256;

    private static long secondStartNanos = System.nanoTime();
    private static int lines;
    private static int dropped;
    /** Null while each line is written by its caller. */
    private static LogWriter writer;

    private Log() {}

    /** From now on a thread writes: for features with texts so long or many that the loop might stall. */
    static synchronized void inBackground() {
        if (writer == null) {
            writer = new LogWriter(System.err, WAITING_MOST);
            Thread thread = new Thread(writer, "burlarch-log");
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Writes one line; a flood is cut, so that a fault in every request can't stall the loop. */
    public static synchronized void line(String text) {
        long nowNanos = System.nanoTime();
        if (nowNanos - secondStartNanos >= 1_000_000_000L) {
            secondStartNanos = nowNanos;
            if (dropped > 0) {
                write("burlarch: " + dropped + " lines left out");
            }
            lines = 0;
            dropped = 0;
        }
        if (lines++ >= LINES_PER_SECOND || !write("burlarch: " + text)) {
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
     * Writes lines that were asked for, as they are, on the log's thread and whatever else is written.
     *
     * @return false where they are left out, as too much waits for a reader
     */
    public static synchronized boolean block(Supplier<String> text) {
        boolean taken = writer.offer(text);
        dropped += taken ? 0 : 1;
        return taken;
    }

    /** Before the program ends: gives the log's thread so long to write what waits. */
    static void flush(long mostMs) throws InterruptedException {
        LogWriter background;
        synchronized (Log.class) {
            background = writer;
        }
        if (background != null) {
            background.flush(mostMs);
        }
    }
}
