package burlarch.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, each with the seconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    /** Creates the record, replacing the file of an earlier run. */
    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Adds one line. */
    synchronized void add(String line) {
        writer.println(String.format(
                Locale.ROOT, "%9.3f s  %s", (System.nanoTime() - startNanos) / NANOS_PER_SECOND, line));
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
