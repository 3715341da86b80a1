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
 * Records the requests that are taken, as a trace. The loop hands each over without ever waiting: a thread of
 * its own writes, what finds the queue full is left out and counted, and at its size the file ends, whole.
 */
public final class TraceRecorder implements RequestTable.Observer {
    private static final int WAITING_MOST = 4096;
    /** Longer keys and tenants are cut: a client chooses them. */
    private static final int TEXT_MOST = 256;

    private static final long LAST_WRITES_MS = 2000;
    /** A block of the trace is begun again this often, so that a kill loses little. */
    private static final long FLUSH_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final TraceRecord END = new TraceRecord(0, "", "", "", false, 0, 0, 0);

    private final BlockingQueue<TraceRecord> waiting = new ArrayBlockingQueue<>(WAITING_MOST);
    private final AtomicLong leftOut = new AtomicLong();
    private final List<String> classes;
    private final LongSupplier clock;
    private final long startNanos;
    private final long mostBytes;
    private final Path file;
    private final CountedBytes bytes;
    private final TraceWriter writer;
    private final Thread thread;
    private volatile boolean over;

    /** Counts what goes to the file. */
    private static final class CountedBytes extends FilterOutputStream {
        private long count;

        CountedBytes(OutputStream out) {
            super(out);
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            out.write(bytes, from, length);
            count += length;
        }

        @Override
        public void write(int b) throws IOException {
            out.write(b);
            count++;
        }
    }

    /** Its file with its head; to be had before any port is bound. */
    public record Sink(Path file, OutputStream stream) {
        /** @throws SettingsException where the file is there already or can't be made */
        public static Sink create(TraceSettings settings) throws SettingsException {
            try {
                return new Sink(
                        settings.file(),
                        Files.newOutputStream(
                                settings.file(), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
            } catch (java.nio.file.FileAlreadyExistsException e) {
                throw new SettingsException("trace.file " + settings.file() + ": is there already: move it away");
            } catch (IOException e) {
                throw new SettingsException("trace.file " + settings.file() + ": cannot be made: " + e);
            }
        }
    }

    public TraceRecorder(TraceSettings settings, Sink sink, List<String> classes, LongSupplier clock)
            throws IOException {
        this.classes = classes;
        this.clock = clock;
        this.startNanos = clock.getAsLong();
        this.mostBytes = settings.mostBytes();
        this.file = sink.file();
        this.bytes = new CountedBytes(sink.stream());
        this.writer = new TraceWriter(bytes, System.currentTimeMillis());
        this.thread = new Thread(this::write, "burlarch-trace");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void taken(RequestTable.Arrival arrival) {
        if (over) {
            return;
        }
        TraceRecord record = new TraceRecord(
                clock.getAsLong() - startNanos,
                classes.get(arrival.requestClass()),
                cut(arrival.tenantName()),
                cut(arrival.keyText()),
                !arrival.upstream().method().name().equals("GET"),
                arrival.timeoutMs(),
                TimeUnit.NANOSECONDS.toMicros(arrival.workNanos()),
                arrival.upstream().body().length);
        if (!waiting.offer(record)) {
            leftOut.incrementAndGet();
        }
    }

    private static String cut(String text) {
        return text.length() <= TEXT_MOST ? text : text.substring(0, TEXT_MOST);
    }

    private void write() {
        String end = "at the end of the program";
        long flushedNanos = System.nanoTime();
        try (writer) {
            while (true) {
                TraceRecord next = waiting.poll(FLUSH_NANOS, TimeUnit.NANOSECONDS);
                if (next == END) {
                    break;
                }
                if (next != null) {
                    writer.write(next);
                }
                if (System.nanoTime() - flushedNanos >= FLUSH_NANOS) {
                    writer.flush();
                    flushedNanos = System.nanoTime();
                }
                if (bytes.count >= mostBytes) {
                    end = "at its size";
                    break;
                }
            }
        } catch (IOException e) {
            end = "as it can't be written: " + e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        over = true;
        waiting.clear();
        Log.line("trace " + file + " ended " + end + ": " + writer.written() + " requests, " + leftOut.get()
                + " left out");
    }

    /** Writes what waits and ends the file; returns then, or after 2 s. */
    public void close() throws InterruptedException {
        if (over || waiting.offer(END, LAST_WRITES_MS, TimeUnit.MILLISECONDS)) {
            thread.join(LAST_WRITES_MS);
        }
    }
}
