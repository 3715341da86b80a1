package burlarch.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that records are read back as written, and that an incomplete file is always rejected. */
class RecordFileTest {
    private static final ClientRequest CLIENT_REQUEST =
            new ClientRequest("a", "n0", "read", true, 5, 1000, 9, ClientRequest.End.SERVED, 200, -3, 1);
    private static final Attempt ATTEMPT = new Attempt("a", "c-1", "n0", 5, 6, 7, Attempt.Fate.RESET, 8, -9);
    private static final MembershipUpdate MEMBERSHIP_UPDATE =
            new MembershipUpdate("n0", "c-1", MembershipUpdate.Stage.DRAINING, 4, 3);
    private static final NodeStart NODE_START = new NodeStart("c-1", 4, 2.5, 0.125, 77);
    private static final ProxyRun PROXY_RUN = new ProxyRun("n0", 1, 0);

    @TempDir
    Path directory;

    private Path writeRecords() throws IOException {
        Path file = directory.resolve("records.tsv");
        try (FileSink sink = new FileSink(file)) {
            sink.write(CLIENT_REQUEST);
            sink.write(ATTEMPT);
            sink.write(MEMBERSHIP_UPDATE);
            sink.write(NODE_START);
            sink.write(PROXY_RUN);
        }
        return file;
    }

    @Test
    void writtenRecordsAreReadBack() throws IOException {
        assertEquals(
                new Records(
                        List.of(CLIENT_REQUEST),
                        List.of(ATTEMPT),
                        List.of(MEMBERSHIP_UPDATE),
                        List.of(NODE_START),
                        List.of(PROXY_RUN),
                        0),
                RecordFile.read(List.of(writeRecords())));
    }

    @Test
    void controlCharactersInIdCannotForgeRecord() throws IOException {
        Path file = directory.resolve("forged.tsv");
        try (FileSink sink = new FileSink(file)) {
            sink.write(new ProxyRun("n0\nR\tn1\t1\t1", 1, 0));
        }
        assertEquals(
                "n0?R?n1?1?1", RecordFile.read(List.of(file)).proxyRuns().get(0).proxy());
    }

    @Test
    void fileTruncatedAtAnyByteIsRejected() throws IOException {
        byte[] complete = Files.readAllBytes(writeRecords());
        Path truncated = directory.resolve("cut.tsv");
        // The last byte is the line break of the end line; without it no data is missing.
        for (int length = 0; length < complete.length - 1; length++) {
            Files.write(truncated, java.util.Arrays.copyOf(complete, length));
            IOException rejection = assertThrows(IOException.class, () -> RecordFile.read(List.of(truncated)));
            assertTrue(rejection.getMessage().startsWith(truncated.toString()), rejection.getMessage());
        }
    }

    @Test
    void missingLineIsDetected() throws IOException {
        List<String> lines = Files.readAllLines(writeRecords());
        Path truncated = Files.write(directory.resolve("cut.tsv"), lines.subList(1, lines.size()));
        assertTrue(assertThrows(IOException.class, () -> RecordFile.read(List.of(truncated)))
                .getMessage()
                .contains("5 records were written, 4 are here"));
    }

    @Test
    void memorySinkBeyondCapacityCountsDroppedRecords() throws IOException {
        MemorySink memory = new MemorySink(2);
        memory.write(PROXY_RUN);
        memory.write(MEMBERSHIP_UPDATE);
        memory.write(PROXY_RUN);
        assertEquals(1, memory.records().droppedRecords());
    }
}
