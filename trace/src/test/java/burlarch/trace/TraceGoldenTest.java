package burlarch.trace;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import burlarch.golden.GoldenFiles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the trace format with a trace of the previous release, so that old and new releases read each other's. */
class TraceGoldenTest {
    private static final GoldenFiles TRACES = new GoldenFiles("traces");
    private static final long STARTED_AT_MILLIS = 1_700_000_000_000L;
    private static final int HEADER_BYTES = 22;
    private static final int PLAIN_LENGTH_OFFSET = HEADER_BYTES + 5;
    private static final int COMPRESSED_LENGTH_OFFSET = HEADER_BYTES + 9;
    private static final int COMPRESSED_OFFSET = HEADER_BYTES + 17;
    private static final List<TraceRecord> RECORDS = List.of(
            new TraceRecord(0, "read", "tenant-a", "käse", false, 1_500, 0, 0),
            new TraceRecord(1_000_000, "write", "", "", true, 200, 77, 1 << 20),
            new TraceRecord(1L << 40, "read", "tenant-a", "k", false, 1_500, 1L << 33, 3));

    @TempDir
    Path directory;

    @Test
    void readsTraceOfPreviousRelease() throws IOException {
        Path file = Files.write(directory.resolve("golden.trace"), TRACES.bytes("three-records"));

        try (TraceReader reader = new TraceReader(file)) {
            assertEquals(STARTED_AT_MILLIS, reader.startedAtMs());
            for (TraceRecord expected : RECORDS) {
                assertEquals(expected, reader.next());
            }
            assertNull(reader.next());
        }
    }

    /** Compares decompressed blocks, because the compressed bytes depend on the machine's zlib. */
    @Test
    void writesTraceLikePreviousRelease() throws IOException, DataFormatException {
        byte[] golden = TRACES.bytes("three-records");
        byte[] written = writtenTrace();

        assertArrayEquals(Arrays.copyOf(golden, HEADER_BYTES), Arrays.copyOf(written, HEADER_BYTES));
        assertEquals(golden[HEADER_BYTES], written[HEADER_BYTES]);
        assertArrayEquals(decompressedBlock(golden), decompressedBlock(written));
        assertArrayEquals(bytesAfterBlock(golden), bytesAfterBlock(written));
    }

    static byte[] writtenTrace() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (TraceWriter writer = new TraceWriter(bytes, STARTED_AT_MILLIS)) {
            for (TraceRecord record : RECORDS) {
                writer.write(record);
            }
        }
        return bytes.toByteArray();
    }

    private static byte[] decompressedBlock(byte[] trace) throws DataFormatException {
        ByteBuffer fields = ByteBuffer.wrap(trace);
        byte[] plain = new byte[fields.getInt(PLAIN_LENGTH_OFFSET)];
        Inflater inflater = new Inflater(true);
        inflater.setInput(trace, COMPRESSED_OFFSET, fields.getInt(COMPRESSED_LENGTH_OFFSET));
        assertEquals(plain.length, inflater.inflate(plain));
        inflater.end();
        return plain;
    }

    private static byte[] bytesAfterBlock(byte[] trace) {
        int blockEnd = COMPRESSED_OFFSET + ByteBuffer.wrap(trace).getInt(COMPRESSED_LENGTH_OFFSET);
        return Arrays.copyOfRange(trace, blockEnd, trace.length);
    }
}
