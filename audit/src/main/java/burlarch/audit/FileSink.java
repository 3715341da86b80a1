package burlarch.audit;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * A sink that writes records to a file in the background. Any thread may call {@link #write}, which never waits
 * for the disk: records pass through a bounded queue to a writer thread, and a record that finds the queue full
 * is dropped and counted.
 */
public final class FileSink implements Sink, AutoCloseable {
    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final Supplier<String> END_MARKER = () -> "";

    private final BlockingQueue<Supplier<String>> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedRecords = new AtomicLong();
    private final BufferedWriter out;
    private final Thread writer;
    private volatile IOException failure;
    private volatile boolean closed;

    /** @throws IOException if the file cannot be created */
    public FileSink(Path file) throws IOException {
        out = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
        writer = new Thread(this::writeQueuedRecords, "burlarch-records");
        writer.setDaemon(true);
        writer.start();
    }

    private void writeQueuedRecords() {
        long written = 0;
        try {
            for (Supplier<String> next = queue.take(); next != END_MARKER; next = queue.take()) {
                out.write(next.get());
                written++;
            }
            out.write(RecordFile.endLine(written, droppedRecords.get()));
        } catch (IOException e) {
            failure = e;
            closed = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            try {
                out.close();
            } catch (IOException e) {
                failure = e;
            }
        }
    }

    @Override
    public void write(AuditRecord record) {
        if (closed || !queue.offer(() -> RecordFile.line(record))) {
            droppedRecords.incrementAndGet();
        }
    }

    /**
     * Writes the queued records and the end line, which marks the file as complete.
     *
     * @throws IOException if any write failed
     */
    @Override
    public void close() throws IOException {
        if (!closed) {
            closed = true;
            try {
                queue.put(END_MARKER);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw failure;
        }
    }
}
