package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a store recovers its contents and removes replaced segments. */
class AcceptorStoreTest {
    private static final ProposalNumber LOW = new ProposalNumber(3, "a");
    private static final ProposalNumber HIGH = new ProposalNumber(4, "b");
    private static final long SMALL_SEGMENT_BYTES = 300;

    @TempDir
    private Path directory;

    @Test
    void identityStateAndNamedValuesAreRecoveredAfterARestart() throws IOException {
        List<AcceptorMember> members = List.of(new AcceptorMember("s1", "10.0.0.1:7000"));
        RegisterValue value = new RegisterValue(members, new byte[] {1, 2});
        try (AcceptorStore store = AcceptorStore.open(new FileSystemDisk(directory), () -> "first")) {
            assertThat(store.isNewlyCreated()).isTrue();
            store.save(new AcceptorState(LOW, LOW, value));
            store.save(new AcceptorState(HIGH, LOW, value));
            store.saveNamedValue("fence", new byte[] {7});
        }
        try (AcceptorStore store = AcceptorStore.open(new FileSystemDisk(directory), () -> "second")) {
            assertThat(store.isNewlyCreated()).isFalse();
            assertThat(store.identity()).isEqualTo("first");
            assertThat(store.state()).usingRecursiveComparison().isEqualTo(new AcceptorState(HIGH, LOW, value));
            assertThat(store.namedValue("fence").orElseThrow()).containsExactly(7);
            assertThat(store.namedValue("other")).isEmpty();
        }
    }

    @Test
    void replacedSegmentsAreRemovedAndTheLastStateIsRecovered() throws IOException {
        FileSystemDisk disk = new FileSystemDisk(directory);
        AcceptorState last = null;
        try (AcceptorStore store = AcceptorStore.open(disk, () -> "first", SMALL_SEGMENT_BYTES)) {
            for (int term = 1; term < 200; term++) {
                ProposalNumber proposalNumber = new ProposalNumber(term, "p");
                last = new AcceptorState(proposalNumber, proposalNumber, new RegisterValue(List.of(), new byte[term]));
                store.save(last);
                assertThat(disk.listFiles()).hasSize(1);
            }
        }
        try (AcceptorStore store = AcceptorStore.open(disk, () -> "second", SMALL_SEGMENT_BYTES)) {
            assertThat(store.state()).usingRecursiveComparison().isEqualTo(last);
        }
    }
}
