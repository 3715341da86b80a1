package burlarch.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compares the record file format with a file of the previous release, so that stored records stay readable. */
class RecordFileGoldenTest {
    private static final GoldenFiles RECORDS = new GoldenFiles("records");

    @TempDir
    Path directory;

    @Test
    void readsRecordsOfPreviousRelease() throws IOException {
        Path file = Files.writeString(directory.resolve("golden.tsv"), RECORDS.text("records.tsv"));

        assertEquals(Records.of(records(), 0), RecordFile.read(List.of(file)));
    }

    @Test
    void writesRecordsLikePreviousRelease() throws IOException {
        Path file = directory.resolve("written.tsv");
        write(file);

        assertEquals(RECORDS.text("records.tsv"), Files.readString(file));
    }

    static void write(Path file) throws IOException {
        try (FileSink sink = new FileSink(file)) {
            records().forEach(sink::write);
        }
    }

    /** Returns records of each kind, with every enum constant that a record may hold. */
    private static List<AuditRecord> records() {
        List<AuditRecord> records = new ArrayList<>();
        for (ClientRequest.End end : ClientRequest.End.values()) {
            records.add(new ClientRequest("q-" + records.size(), "p0", "read", true, 5, 1_000, 9, end, 200, -3, 1));
        }
        for (Attempt.Fate fate : Attempt.Fate.values()) {
            records.add(new Attempt("q-0", "c-" + records.size(), "p0", 5, 6, 7, fate, 8, -9));
        }
        for (MembershipUpdate.Stage stage : MembershipUpdate.Stage.values()) {
            records.add(new MembershipUpdate("p0", "c-1", stage, 4, 3));
        }
        records.add(new NodeStart("c-1", 4, 2.5, 0.125, 77));
        records.add(new ProxyRun("p0", 1, 2, 3));
        return records;
    }
}
