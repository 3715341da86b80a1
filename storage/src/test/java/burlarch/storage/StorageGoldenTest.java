package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests compatibility with records and files written by the previous release: this release reads them, and writes
 * files that the previous release can read.
 */
class StorageGoldenTest {
    private static final GoldenFiles RECORDS = new GoldenFiles("records");
    private static final GoldenFiles SEGMENTS = new GoldenFiles("segments");
    private static final String SEGMENT = "segment-1";

    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"snapshot-empty", "snapshot", "promise", "first-promise", "accept", "extra"})
    void recordsAreWrittenAsByThePreviousRelease(String name) throws IOException {
        assertThat(GoldenRecords.encodedRecords().get(name)).isEqualTo(RECORDS.bytes(name));
    }

    @Test
    void everyGoldenRecordIsCompared() throws IOException {
        assertThat(RECORDS.hexNames())
                .containsExactlyInAnyOrderElementsOf(
                        GoldenRecords.encodedRecords().keySet());
    }

    @Test
    void snapshotOfThePreviousReleaseIsRead() throws IOException {
        AcceptorStoreContents contents = new AcceptorStoreContents();

        AcceptorRecordCodec.apply(RECORDS.bytes("snapshot"), contents);

        assertThat(contents).usingRecursiveComparison().isEqualTo(GoldenRecords.contents(GoldenRecords.ACCEPTED, true));
    }

    @Test
    void applyingRecordsOfThePreviousReleaseGivesTheirState() throws IOException {
        AcceptorStoreContents contents = new AcceptorStoreContents();

        AcceptorRecordCodec.apply(RECORDS.bytes("snapshot-empty"), contents);
        assertThat(contents.identity).isEqualTo(GoldenRecords.IDENTITY);
        AcceptorRecordCodec.apply(RECORDS.bytes("first-promise"), contents);
        assertThat(contents.state).isEqualTo(GoldenRecords.FIRST_PREPARED);
        AcceptorRecordCodec.apply(RECORDS.bytes("accept"), contents);
        assertThat(contents.state).usingRecursiveComparison().isEqualTo(GoldenRecords.ACCEPTED);
        AcceptorRecordCodec.apply(RECORDS.bytes("promise"), contents);
        assertThat(contents.state).usingRecursiveComparison().isEqualTo(GoldenRecords.PREPARED_AFTER_ACCEPTED);
        AcceptorRecordCodec.apply(RECORDS.bytes("extra"), contents);
        assertThat(contents.namedValues.get(GoldenRecords.VALUE_NAME)).isEqualTo(GoldenRecords.NAMED_VALUE);
    }

    @Test
    void diskOfThePreviousReleaseIsRead() throws IOException {
        Files.write(directory.resolve(SEGMENT), SEGMENTS.bytes("store-segment-1"));

        try (AcceptorStore store = AcceptorStore.open(new FileSystemDisk(directory), () -> "another")) {
            assertThat(store.isNewlyCreated()).isFalse();
            assertThat(store.identity()).isEqualTo(GoldenRecords.IDENTITY);
            assertThat(store.state()).usingRecursiveComparison().isEqualTo(GoldenRecords.PREPARED_AFTER_ACCEPTED);
            assertThat(store.namedValue(GoldenRecords.VALUE_NAME))
                    .hasValueSatisfying(value -> assertThat(value).isEqualTo(GoldenRecords.NAMED_VALUE));
        }
    }

    /**
     * Each record is followed by its copy. The previous release wrote each record once; it reads copies as records
     * that change nothing.
     */
    @Test
    void storeIsWrittenWithACopyOfEachRecord() throws IOException {
        GoldenRecords.fillStore(new FileSystemDisk(directory));

        assertThat(new FileSystemDisk(directory).listFiles()).isEqualTo(List.of(SEGMENT));
        assertThat(Files.readAllBytes(directory.resolve(SEGMENT)))
                .isEqualTo(SEGMENTS.bytes("store-segment-1-mirrored"));
    }

    @Test
    void mirroredDiskIsRead() throws IOException {
        Files.write(directory.resolve(SEGMENT), SEGMENTS.bytes("store-segment-1-mirrored"));

        try (AcceptorStore store = AcceptorStore.open(new FileSystemDisk(directory), () -> "another")) {
            assertThat(store.identity()).isEqualTo(GoldenRecords.IDENTITY);
            assertThat(store.state()).usingRecursiveComparison().isEqualTo(GoldenRecords.PREPARED_AFTER_ACCEPTED);
            assertThat(store.namedValue(GoldenRecords.VALUE_NAME))
                    .hasValueSatisfying(value -> assertThat(value).isEqualTo(GoldenRecords.NAMED_VALUE));
        }
    }

    /** The previous release applies copies like any other record, in order; that must not change the contents. */
    @Test
    void applyingRecordsTwiceGivesTheSameContents() throws IOException {
        AcceptorStoreContents appliedOnce = new AcceptorStoreContents();
        AcceptorStoreContents appliedTwice = new AcceptorStoreContents();
        for (String name : List.of("snapshot-empty", "first-promise", "extra", "accept", "promise")) {
            AcceptorRecordCodec.apply(RECORDS.bytes(name), appliedOnce);
            AcceptorRecordCodec.apply(RECORDS.bytes(name), appliedTwice);
            AcceptorRecordCodec.apply(RECORDS.bytes(name), appliedTwice);
            assertThat(appliedTwice).usingRecursiveComparison().isEqualTo(appliedOnce);
        }
    }

    @Test
    void logOfThePreviousReleaseIsRead() throws IOException {
        Files.write(directory.resolve(SEGMENT), SEGMENTS.bytes("log-segment-1"));

        try (SegmentedLog log = SegmentedLog.open(new FileSystemDisk(directory), SegmentedLog.DEFAULT_SEGMENT_BYTES)) {
            assertThat(log.takeRecoveredRecords())
                    .containsExactly(new byte[] {9}, new byte[] {1}, new byte[] {2, 2}, new byte[0]);
        }
    }

    @Test
    void logIsWrittenAsByThePreviousRelease() throws IOException {
        GoldenRecords.fillLog(new FileSystemDisk(directory));

        assertThat(Files.readAllBytes(directory.resolve(SEGMENT))).isEqualTo(SEGMENTS.bytes("log-segment-1"));
        assertThat(SEGMENTS.hexNames())
                .isEqualTo(Set.of("log-segment-1", "store-segment-1", "store-segment-1-mirrored"));
    }
}
