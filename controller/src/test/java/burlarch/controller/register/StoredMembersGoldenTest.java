package burlarch.controller.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.golden.GoldenFiles;
import burlarch.storage.AcceptorStore;
import burlarch.storage.FileSystemDisk;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares a controller's disk format, including the named values beside the acceptor's state, with that of the
 * previous release.
 */
class StoredMembersGoldenTest {
    private static final GoldenFiles DISK_FILES = new GoldenFiles("disk");
    private static final String SEGMENT = "segment-1";
    private static final String ADDRESS = "10.0.0.1:7001";
    private static final List<String> SEEDS = List.of(ADDRESS, "10.0.0.2:7001");
    private static final List<AcceptorMember> CHOSEN_MEMBERS =
            List.of(new AcceptorMember("first-10.0.0.1:7001", ADDRESS), new AcceptorMember("s-3", "10.0.0.3:7001"));
    private static final RegisterView CHOSEN_VIEW =
            RegisterView.ofChosenAcceptors(new ProposalNumber(7, "controller-1"), CHOSEN_MEMBERS);

    @TempDir
    Path folder;

    @Test
    void firstStartWritesOneMirroredSnapshot() throws IOException {
        fillFirstStart(folder);

        assertThat(Files.readAllBytes(folder.resolve(SEGMENT))).isEqualTo(DISK_FILES.bytes("first-start-mirrored"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"first-start", "first-start-mirrored"})
    void firstStartDiskOfEitherFormatIsRead(String name) throws IOException {
        Files.write(folder.resolve(SEGMENT), DISK_FILES.bytes(name));

        RegisterStorage storage =
                RegisterStorage.open(new FileSystemDisk(folder), ADDRESS, List.of("9.9.9.9:1"), false, () -> "new");
        try (AcceptorStore store = storage.store()) {
            assertThat(store.identity()).isEqualTo("first-10.0.0.1:7001");
            assertThat(storage.initialView().members())
                    .containsExactly(
                            new AcceptorMember("first-10.0.0.1:7001", ADDRESS),
                            new AcceptorMember("first-10.0.0.2:7001", "10.0.0.2:7001"));
        }
    }

    @Test
    void chosenAcceptorSetIsWrittenWithMirroredRecords() throws IOException {
        fillKnownAcceptors(folder);

        assertThat(Files.readAllBytes(folder.resolve(SEGMENT))).isEqualTo(DISK_FILES.bytes("known-acceptors-mirrored"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"known-acceptors", "known-acceptors-mirrored"})
    void chosenAcceptorSetOnDiskOfEitherFormatIsRead(String name) throws IOException {
        Files.write(folder.resolve(SEGMENT), DISK_FILES.bytes(name));

        RegisterStorage storage = RegisterStorage.open(new FileSystemDisk(folder), ADDRESS, SEEDS, false, () -> "new");
        try (AcceptorStore store = storage.store()) {
            assertThat(storage.initialView().members()).isEqualTo(CHOSEN_MEMBERS);
            assertThat(StoredAcceptorSet.load(store).proposalNumber()).isEqualTo(CHOSEN_VIEW.proposalNumber());
        }
    }

    /**
     * The start must succeed, with a new identity for the acceptor, because one with a damaged log must not vote under
     * the old identity.
     */
    @Test
    void damagedLogIsSetAsideAndAcceptorGetsNewIdentity() throws IOException {
        byte[] damaged = DISK_FILES.bytes("known-acceptors-mirrored");
        Arrays.fill(damaged, 0, 80, (byte) 0);
        Arrays.fill(damaged, 100, 140, (byte) 0);
        Files.write(folder.resolve("segment-2"), damaged);

        RegisterStorage storage = RegisterStorage.open(new FileSystemDisk(folder), ADDRESS, SEEDS, true, () -> "new");
        try (AcceptorStore store = storage.store()) {
            assertThat(store.identity()).isEqualTo("new");
            assertThat(storage.initialView().members()).isEmpty();
        }
        assertThat(Files.readAllBytes(folder.resolve("damaged-segment-2"))).isEqualTo(damaged);
    }

    static void fillFirstStart(Path folder) throws IOException {
        RegisterStorage.open(new FileSystemDisk(folder), ADDRESS, SEEDS, true, () -> "new")
                .store()
                .close();
    }

    static void fillKnownAcceptors(Path folder) throws IOException {
        try (AcceptorStore store = AcceptorStore.open(new FileSystemDisk(folder), () -> "s-1")) {
            StoredAcceptorSet.save(store, CHOSEN_VIEW);
        }
    }
}
