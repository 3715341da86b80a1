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

/** A recorded trace as the release before wrote it: old recordings stay readable, and others read ours. */
class TraceGoldenTest {
    private static final GoldenFiles TRACES = new GoldenFiles("traces");
    private static final long STARTED_AT_MILLIS = 1_700_000_000_000L;
    private static final int HEAD_BYTES = 22;
    private static final int PLAIN_LENGTH_AT = HEAD_BYTES + 5;
    private static final int PACKED_LENGTH_AT = HEAD_BYTES + 9;
    private static final int PACKED_AT = HEAD_BYTES + 17;
    private static final List<TraceRecord> RECORDS = List.of(
            new TraceRecord(0, "read", "tenant-a", "käse", false, 1_500, 0, 0),
            new TraceRecord(1_000_000, "write", "", "", true, 200, 77, 1 << 20),
            new TraceRecord(1L << 40, "read", "tenant-a", "k", false, 1_500, 1L << 33, 3));

    @TempDir
    Path folder;

    @Test
    void aTraceOfTheReleaseBeforeIsRead() throws IOException {
        Path file = Files.write(folder.resolve("golden.trace"), TRACES.bytes("three-records"));

        try (TraceReader reader = new TraceReader(file)) {
            assertEquals(STARTED_AT_MILLIS, reader.startedAtMs());
            for (TraceRecord expected : RECORDS) {
                assertEquals(expected, reader.next());
            }
            assertNull(reader.next());
        }
    }

    /** Blocks are compared before compression, whose bytes are those of the machine's zlib. */
    @Test
    void aTraceIsWrittenAsTheReleaseBeforeDid() throws IOException, DataFormatException {
        byte[] golden = TRACES.bytes("three-records");
        byte[] written = written();

        assertArrayEquals(Arrays.copyOf(golden, HEAD_BYTES), Arrays.copyOf(written, HEAD_BYTES));
        assertEquals(golden[HEAD_BYTES], written[HEAD_BYTES]);
        assertArrayEquals(block(golden), block(written));
        assertArrayEquals(behindBlock(golden), behindBlock(written));
    }

    static byte[] written() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (TraceWriter writer = new TraceWriter(bytes, STARTED_AT_MILLIS)) {
            for (TraceRecord record : RECORDS) {
                writer.write(record);
            }
        }
        return bytes.toByteArray();
    }

    private static byte[] block(byte[] trace) throws DataFormatException {
        ByteBuffer fields = ByteBuffer.wrap(trace);
        byte[] plain = new byte[fields.getInt(PLAIN_LENGTH_AT)];
        Inflater inflater = new Inflater(true);
        inflater.setInput(trace, PACKED_AT, fields.getInt(PACKED_LENGTH_AT));
        assertEquals(plain.length, inflater.inflate(plain));
        inflater.end();
        return plain;
    }

    private static byte[] behindBlock(byte[] trace) {
        int end = PACKED_AT + ByteBuffer.wrap(trace).getInt(PACKED_LENGTH_AT);
        return Arrays.copyOfRange(trace, end, trace.length);
    }
}
