package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each event, with the seconds since the run began. Thread-safe. */
final class EventRecord implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    /** Creates the file {@code record.txt} in the folder of the case; an earlier one is replaced. */
    EventRecord(Path folder) throws IOException {
        writer = new PrintWriter(
                Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
    }

    /** Adds a line. */
    synchronized void add(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        writer.println(String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, format, arguments));
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
