package burlarch.proxy.trace;

import burlarch.proxy.Log;
import burlarch.proxy.RequestTable;
import burlarch.settings.SettingsException;
import burlarch.trace.TraceRecord;
import burlarch.trace.TraceWriter;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Records accepted requests to a trace file. The event loop only enqueues records and never blocks; a separate thread
 * writes them. Records that find the queue full are dropped and counted. Recording ends, with a complete file, once the
 * file has reached its maximum size.
 */
public final class TraceRecorder implements RequestTable.Observer {
    private static final int QUEUE_CAPACITY = 4096;
    /** Longer keys and tenants are truncated, because clients choose them. */
    private static final int MAX_TEXT_LENGTH = 256;

    private static final long CLOSE_TIMEOUT_MS = 2000;
    /** Interval at which a block of the trace is completed, so that little is lost if the process is killed. */
    private static final long FLUSH_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Tells the writer thread to finish. */
    private static final TraceRecord END_MARKER = new TraceRecord(0, "", "", "", false, 0, 0, 0);

    private final BlockingQueue<TraceRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedRecords = new AtomicLong();
    private final List<String> classes;
    private final LongSupplier clockNanos;
    private final long startNanos;
    private final long maxBytes;
    private final Path file;
    private final CountingOutputStream countedOutput;
    private final TraceWriter writer;
    private final Thread thread;
    private volatile boolean ended;

    /** Counts the bytes written to the file. */
    private static final class CountingOutputStream extends FilterOutputStream {
        private long byteCount;

        CountingOutputStream(OutputStream out) {
            super(out);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            out.write(bytes, offset, length);
            byteCount += length;
        }

        @Override
        public void write(int value) throws IOException {
            out.write(value);
            byteCount++;
        }
    }

    /** Newly created trace file; created before any port is bound, so that an error ends the start early. */
    public record Sink(Path file, OutputStream stream) {
        /**
         * Creates the file.
         *
         * @throws SettingsException if the file exists already or cannot be created
         */
        public static Sink create(TraceSettings settings) throws SettingsException {
            try {
                return new Sink(
                        settings.file(),
                        Files.newOutputStream(
                                settings.file(), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
            } catch (java.nio.file.FileAlreadyExistsException e) {
                throw new SettingsException("trace.file " + settings.file() + ": file already exists: move it away");
            } catch (IOException e) {
                throw new SettingsException("trace.file " + settings.file() + ": cannot be created: " + e);
            }
        }
    }

    /**
     * Starts the writer thread.
     *
     * @param sink destination of the trace; closed when the recording ends
     * @param classes names of the request classes, by their numbers
     * @param clockNanos monotonic time in nanoseconds
     * @throws IOException if the file header cannot be written
     */
    public TraceRecorder(TraceSettings settings, Sink sink, List<String> classes, LongSupplier clockNanos)
            throws IOException {
        this.classes = classes;
        this.clockNanos = clockNanos;
        this.startNanos = clockNanos.getAsLong();
        this.maxBytes = settings.maxBytes();
        this.file = sink.file();
        this.countedOutput = new CountingOutputStream(sink.stream());
        this.writer = new TraceWriter(countedOutput, System.currentTimeMillis());
        this.thread = new Thread(this::writeQueuedRecords, "burlarch-trace");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void requestAccepted(RequestTable.ClientRequest clientRequest) {
        if (ended) {
            return;
        }
        TraceRecord record = new TraceRecord(
                clockNanos.getAsLong() - startNanos,
                classes.get(clientRequest.requestClass()),
                truncate(clientRequest.tenantName()),
                truncate(clientRequest.keyText()),
                !clientRequest.upstream().method().name().equals("GET"),
                clientRequest.timeoutMs(),
                TimeUnit.NANOSECONDS.toMicros(clientRequest.workNanos()),
                clientRequest.upstream().body().length);
        if (!queue.offer(record)) {
            droppedRecords.incrementAndGet();
        }
    }

    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    private void writeQueuedRecords() {
        String endReason = "as the proxy shut down";
        long lastFlushNanos = System.nanoTime();
        try (writer) {
            while (true) {
                TraceRecord next = queue.poll(FLUSH_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
                if (next == END_MARKER) {
                    break;
                }
                if (next != null) {
                    writer.write(next);
                }
                if (System.nanoTime() - lastFlushNanos >= FLUSH_INTERVAL_NANOS) {
                    writer.flush();
                    lastFlushNanos = System.nanoTime();
                }
                if (countedOutput.byteCount >= maxBytes) {
                    endReason = "at its maximum size";
                    break;
                }
            }
        } catch (IOException e) {
            endReason = "as it cannot be written: " + e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended = true;
        queue.clear();
        Log.line("trace " + file + " ended " + endReason + ": " + writer.written() + " requests, "
                + droppedRecords.get() + " dropped");
    }

    /** Writes the queued records and completes the file. Waits up to 2 s for queue space, and 2 s for the writer. */
    public void close() throws InterruptedException {
        if (ended || queue.offer(END_MARKER, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            thread.join(CLOSE_TIMEOUT_MS);
        }
    }
}
