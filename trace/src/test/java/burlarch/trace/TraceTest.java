package burlarch.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that records are read back as written, and that a truncated or altered file is always rejected. */
class TraceTest {
    @TempDir
    Path directory;

    private static List<TraceRecord> records(int count, long seed) {
        Random random = new Random(seed);
        List<TraceRecord> records = new ArrayList<>();
        long dueNanos = 0;
        for (int i = 0; i < count; i++) {
            dueNanos += random.nextInt(2_000_000);
            records.add(new TraceRecord(
                    dueNanos,
                    i % 7 == 0 ? "pay" : "read",
                    "t" + i % 3,
                    "k" + random.nextInt(50),
                    i % 7 == 0,
                    1200,
                    random.nextInt(100_000),
                    i % 7 == 0 ? 64 : 0));
        }
        return records;
    }

    private Path write(String name, List<TraceRecord> records) throws IOException {
        Path file = directory.resolve(name);
        try (TraceWriter writer = new TraceWriter(Files.newOutputStream(file), 1234)) {
            for (TraceRecord record : records) {
                writer.write(record);
            }
        }
        return file;
    }

    private static List<TraceRecord> read(Path file) throws IOException {
        List<TraceRecord> records = new ArrayList<>();
        try (TraceReader reader = new TraceReader(file)) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                records.add(r);
            }
        }
        return records;
    }

    @Test
    void recordsAreReadBackAcrossBlocks() throws IOException {
        for (int count : new int[] {0, 1, 4096, 4097, 10_000}) {
            List<TraceRecord> records = records(count, count);
            assertEquals(records, read(write("t", records)));
        }
    }

    @Test
    void fileTruncatedAtAnyByteIsRejectedWithOffset() throws IOException {
        byte[] complete = Files.readAllBytes(write("t", records(40, 1)));
        Path truncated = directory.resolve("cut");
        for (int length = 0; length < complete.length; length++) {
            Files.write(truncated, Arrays.copyOf(complete, length));
            TraceException rejection = assertThrows(TraceException.class, () -> read(truncated), "cut at " + length);
            assertTrue(
                    rejection.offset() <= length && rejection.getMessage().contains("at byte"), rejection.getMessage());
        }
    }

    @Test
    void alterationOfAnyByteIsDetected() throws IOException {
        byte[] complete = Files.readAllBytes(write("t", records(40, 2)));
        for (int i = 0; i < complete.length; i++) {
            byte[] altered = complete.clone();
            altered[i] ^= 0x10;
            assertThrows(
                    TraceException.class,
                    () -> {
                        try (TraceReader reader = new TraceReader("t", new ByteArrayInputStream(altered))) {
                            while (reader.next() != null) {
                                assertNotNull(reader);
                            }
                        }
                    },
                    "byte " + i);
        }
    }

    @Test
    void bytesAfterEndMarkAreDetected() throws IOException {
        byte[] complete = Files.readAllBytes(write("t", records(3, 3)));
        Path extended = Files.write(directory.resolve("more"), Arrays.copyOf(complete, complete.length + 1));
        assertTrue(assertThrows(TraceException.class, () -> read(extended))
                .getMessage()
                .contains("behind the end"));
    }

    @Test
    void interruptedWriterLosesOnlyOpenBlock() throws IOException {
        Path file = directory.resolve("killed");
        List<TraceRecord> records = records(5000, 4);
        TraceWriter writer = new TraceWriter(Files.newOutputStream(file), 0);
        for (TraceRecord record : records) {
            writer.write(record);
        }
        try (TraceReader reader = new TraceReader(file)) {
            for (int i = 0; i < 4096; i++) {
                assertEquals(records.get(i), reader.next());
            }
            assertThrows(TraceException.class, reader::next);
        }
        writer.close();
        assertEquals(records, read(file));
    }

    @Test
    void recordDueBeforePredecessorIsRejected() throws IOException {
        try (TraceWriter writer = new TraceWriter(Files.newOutputStream(directory.resolve("t")), 0)) {
            TraceRecord record = new TraceRecord(5, "read", "t", "k", false, 1, 1, 0);
            writer.write(record);
            assertThrows(IllegalArgumentException.class, () -> writer.write(record.at(4)));
        }
    }

    @Test
    void cutScaleAndMergeKeepRelativeTimes() throws IOException {
        List<TraceRecord> records = records(6000, 5);
        Path file = write("t", records);
        Path output = directory.resolve("out");
        long from = records.get(100).dueNanos();
        long until = records.get(5200).dueNanos();
        Traces.cut(file, output, from, until);
        List<TraceRecord> cutRecords = read(output);
        assertEquals(
                records.stream()
                        .filter(r -> r.dueNanos() >= from && r.dueNanos() < until)
                        .map(r -> r.at(r.dueNanos() - from))
                        .toList(),
                cutRecords);
        assertEquals(9000, Traces.scale(file, output, 2, 1.5));
        assertEquals(records.get(5999).dueNanos() * 2, read(output).get(8999).dueNanos());
        Traces.merge(List.of(file, file), output);
        List<TraceRecord> mergedRecords = read(output);
        assertEquals(12_000, mergedRecords.size());
        assertEquals(records, mergedRecords.stream().distinct().toList());
        Traces.Summary summary = Traces.summary(output);
        assertEquals(12_000, summary.records());
        assertEquals(2 * records.stream().filter(TraceRecord::write).count(), summary.writes());
    }

    @Test
    void fileOfOtherFormatIsRejected() throws IOException {
        Path text = Files.writeString(directory.resolve("text"), "this is some other file altogether");
        assertEquals(0, assertThrows(TraceException.class, () -> read(text)).offset());
        assertNull(new TraceReader(write("empty", List.of())).next());
    }
}
