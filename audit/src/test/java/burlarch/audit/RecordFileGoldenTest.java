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

/** Records of runs as the release before wrote them: those that were kept stay readable. */
class RecordFileGoldenTest {
    private static final GoldenFiles RECORDS = new GoldenFiles("records");

    @TempDir
    Path folder;

    @Test
    void recordsOfTheReleaseBeforeAreRead() throws IOException {
        Path file = Files.writeString(folder.resolve("golden.tsv"), RECORDS.text("records.tsv"));

        assertEquals(Records.of(records(), 0), RecordFile.read(List.of(file)));
    }

    @Test
    void recordsAreWrittenAsTheReleaseBeforeDid() throws IOException {
        Path file = folder.resolve("written.tsv");
        write(file);

        assertEquals(RECORDS.text("records.tsv"), Files.readString(file));
    }

    static void write(Path file) throws IOException {
        try (FileSink sink = new FileSink(file)) {
            records().forEach(sink::write);
        }
    }

    /** One of each kind, with each constant that a record may hold. */
    private static List<AuditRecord> records() {
        List<AuditRecord> records = new ArrayList<>();
        for (Asked.End end : Asked.End.values()) {
            records.add(new Asked("q-" + records.size(), "p0", "read", true, 5, 1_000, 9, end, 200, -3, 1));
        }
        for (Attempt.Fate fate : Attempt.Fate.values()) {
            records.add(new Attempt("q-0", "c-" + records.size(), "p0", 5, 6, 7, fate, 8, -9));
        }
        for (Told.Stage stage : Told.Stage.values()) {
            records.add(new Told("p0", "c-1", stage, 4, 3));
        }
        records.add(new Started("c-1", 4, 2.5, 0.125, 77));
        records.add(new Ran("p0", 1, 2, 3));
        return records;
    }
}
