package burlarch.trace;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/** Operations on trace files. All of them stream block by block, so traces may be of any length. */
public final class Traces {
    /** Maximum number of distinct keys that a summary counts; at this value the count is a lower bound. */
    private static final int MAX_COUNTED_KEYS = 1_000_000;

    private Traces() {}

    /**
     * Totals of a trace.
     *
     * @param records       number of records
     * @param spanNanos     time from the first to the last record
     * @param byClass       number of records by request class
     * @param byTenant      number of records by tenant
     * @param keys          number of distinct keys, at most 1,000,000
     * @param writes        number of writes
     * @param busiestSecond most records within one second of the trace's clock
     */
    public record Summary(
            long records,
            long spanNanos,
            Map<String, Long> byClass,
            Map<String, Long> byTenant,
            long keys,
            long writes,
            long busiestSecond) {}

    /** Computes the totals of a trace in one pass over the file. */
    public static Summary summary(Path file) throws IOException {
        Map<String, Long> byClass = new TreeMap<>();
        Map<String, Long> byTenant = new TreeMap<>();
        Map<String, Boolean> keys = new HashMap<>();
        long records = 0;
        long writes = 0;
        long firstNanos = 0;
        long lastNanos = 0;
        long currentSecond = -1;
        long recordsInSecond = 0;
        long busiestSecond = 0;
        try (TraceReader reader = new TraceReader(file)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                byClass.merge(r.requestClass(), 1L, Long::sum);
                byTenant.merge(r.tenant(), 1L, Long::sum);
                if (keys.size() < MAX_COUNTED_KEYS) {
                    keys.put(r.key(), true);
                }
                firstNanos = records == 0 ? r.dueNanos() : firstNanos;
                lastNanos = r.dueNanos();
                records++;
                writes += r.write() ? 1 : 0;
                recordsInSecond = r.dueNanos() / 1_000_000_000L == currentSecond ? recordsInSecond + 1 : 1;
                currentSecond = r.dueNanos() / 1_000_000_000L;
                busiestSecond = Math.max(busiestSecond, recordsInSecond);
            }
        }
        return new Summary(records, lastNanos - firstNanos, byClass, byTenant, keys.size(), writes, busiestSecond);
    }

    /**
     * Copies the records due from {@code fromNanos} (inclusive) to {@code untilNanos} (exclusive), and shifts their
     * times so that {@code fromNanos} becomes 0.
     *
     * @return the number of records written
     */
    public static long cut(Path from, Path to, long fromNanos, long untilNanos) throws IOException {
        try (TraceReader reader = new TraceReader(from);
                TraceWriter writer = writer(to, reader)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                if (r.dueNanos() >= fromNanos && r.dueNanos() < untilNanos) {
                    writer.write(r.at(r.dueNanos() - fromNanos));
                }
            }
            return writer.written();
        }
    }

    /**
     * Multiplies all times by {@code time} and repeats or drops records so that each is written {@code rate} times
     * on average. Repeats are spread evenly: with 1.5 every other record is written twice. Copies of a record are due
     * at the same time; the order of records is kept.
     *
     * @return the number of records written
     */
    public static long scale(Path from, Path to, double time, double rate) throws IOException {
        double owedCopies = 0;
        try (TraceReader reader = new TraceReader(from);
                TraceWriter writer = writer(to, reader)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                owedCopies += rate;
                for (; owedCopies >= 1; owedCopies--) {
                    writer.write(r.at((long) (r.dueNanos() * time)));
                }
            }
            return writer.written();
        }
    }

    private static TraceWriter writer(Path to, TraceReader template) throws IOException {
        return new TraceWriter(Files.newOutputStream(to), template.startedAtMs());
    }

    /**
     * Merges traces by time since the start of each; records due at the same time keep the order of {@code from}.
     *
     * @return the number of records written
     */
    public static long merge(List<Path> from, Path to) throws IOException {
        record Head(TraceRecord record, int source) {}

        List<TraceReader> readers = new ArrayList<>();
        try {
            PriorityQueue<Head> heads = new PriorityQueue<>(
                    Comparator.comparingLong((Head h) -> h.record().dueNanos()).thenComparingInt(Head::source));
            for (Path file : from) {
                TraceReader reader = new TraceReader(file);
                readers.add(reader);
                TraceRecord first = reader.next();
                if (first != null) {
                    heads.add(new Head(first, readers.size() - 1));
                }
            }
            try (TraceWriter writer = writer(to, readers.get(0))) {
                for (Head head = heads.poll(); head != null; head = heads.poll()) {
                    writer.write(head.record());
                    TraceRecord next = readers.get(head.source()).next();
                    if (next != null) {
                        heads.add(new Head(next, head.source()));
                    }
                }
                return writer.written();
            }
        } finally {
            for (TraceReader reader : readers) {
                reader.close();
            }
        }
    }
}
