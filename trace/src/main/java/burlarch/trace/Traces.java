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

/**
 * What can be done with traces. Everything streams: a trace of any length passes through a block at a time.
 */
public final class Traces {
    /** Distinct keys that a summary counts; from there on it says "at least". */
    private static final int KEYS_MOST = 1_000_000;

    private Traces() {}

    /** What a trace holds. */
    public record Summary(
            long records,
            long spanNanos,
            Map<String, Long> byClass,
            Map<String, Long> byTenant,
            long keys,
            long writes,
            long busiestSecond) {}

    /** Counts the records of a trace by class and tenant. Reads the file once, record by record. */
    public static Summary summary(Path file) throws IOException {
        Map<String, Long> byClass = new TreeMap<>();
        Map<String, Long> byTenant = new TreeMap<>();
        Map<String, Boolean> keys = new HashMap<>();
        long records = 0;
        long writes = 0;
        long first = 0;
        long last = 0;
        long second = -1;
        long inSecond = 0;
        long busiest = 0;
        try (TraceReader reader = new TraceReader(file)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                byClass.merge(r.requestClass(), 1L, Long::sum);
                byTenant.merge(r.tenant(), 1L, Long::sum);
                if (keys.size() < KEYS_MOST) {
                    keys.put(r.key(), true);
                }
                first = records == 0 ? r.dueNanos() : first;
                last = r.dueNanos();
                records++;
                writes += r.write() ? 1 : 0;
                inSecond = r.dueNanos() / 1_000_000_000L == second ? inSecond + 1 : 1;
                second = r.dueNanos() / 1_000_000_000L;
                busiest = Math.max(busiest, inSecond);
            }
        }
        return new Summary(records, last - first, byClass, byTenant, keys.size(), writes, busiest);
    }

    /** Keeps what is due from one time to before another, which then begins at 0. @return how many */
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
     * Stretches the time, and takes each record so many times on the average: evenly, so that 1.5 takes every
     * other one twice. Copies come at the same time; their order is the trace's.
     *
     * @return how many
     */
    public static long scale(Path from, Path to, double time, double rate) throws IOException {
        double due = 0;
        try (TraceReader reader = new TraceReader(from);
                TraceWriter writer = writer(to, reader)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                due += rate;
                for (; due >= 1; due--) {
                    writer.write(r.at((long) (r.dueNanos() * time)));
                }
            }
            return writer.written();
        }
    }

    private static TraceWriter writer(Path to, TraceReader like) throws IOException {
        return new TraceWriter(Files.newOutputStream(to), like.startedAtMs());
    }

    /** Puts traces on top of each other, each from its own start. @return how many records */
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
