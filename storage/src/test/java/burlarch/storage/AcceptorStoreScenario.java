package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * Saves numbered states and named values in a store, and checks after each opening that no acknowledged save is
 * missing and that nothing is recovered that was never saved.
 */
final class AcceptorStoreScenario {
    static final long SEGMENT_BYTES = 800;

    private static final String NAMED_VALUE = "fence";

    AcceptorStore store;
    private String identity;
    private int openCount;
    private int lastAttemptedState;
    private int lastAcknowledgedState;
    private int lastAttemptedNamedValue;
    private int lastAcknowledgedNamedValue;

    /** Opens the store and checks the recovered identity, state and named value. */
    void open(Disk disk) throws IOException {
        String newIdentity = "disk-" + ++openCount;
        store = AcceptorStore.open(disk, () -> newIdentity, SEGMENT_BYTES);
        if (identity != null) {
            assertThat(store.identity()).isEqualTo(identity);
        }
        identity = store.identity();
        int recoveredState = (int) store.state().prepared().term();
        assertThat(recoveredState).isBetween(lastAcknowledgedState, lastAttemptedState);
        assertThat(store.state()).usingRecursiveComparison().isEqualTo(state(recoveredState));
        int recoveredNamedValue = store.namedValue(NAMED_VALUE)
                .map(value -> ByteBuffer.wrap(value).getInt())
                .orElse(0);
        assertThat(recoveredNamedValue).isBetween(lastAcknowledgedNamedValue, lastAttemptedNamedValue);
        lastAcknowledgedState = recoveredState;
        lastAcknowledgedNamedValue = recoveredNamedValue;
    }

    /** Saves the next states and returns how many of them the disk refused. */
    int saveNextStates(int count) {
        int refused = 0;
        for (int i = 0; i < count; i++) {
            refused += saveNextState() ? 0 : 1;
        }
        return refused;
    }

    private boolean saveNextState() {
        int next = ++lastAttemptedState;
        AcceptorState before = store.state();
        try {
            store.save(state(next));
            lastAcknowledgedState = next;
            if (next % 4 == 0) {
                lastAttemptedNamedValue = next;
                store.saveNamedValue(
                        NAMED_VALUE, ByteBuffer.allocate(4).putInt(next).array());
                lastAcknowledgedNamedValue = next;
            }
            return true;
        } catch (IOException e) {
            if (lastAcknowledgedState != next) {
                assertThat(store.state()).isSameAs(before);
            }
            return false;
        }
    }

    /**
     * Returns the state with a number: every third state accepts a value, the others only prepare a proposal number.
     */
    private static AcceptorState state(int number) {
        if (number == 0) {
            return AcceptorState.EMPTY;
        }
        int accepted = number - number % 3;
        if (accepted == 0) {
            return new AcceptorState(proposalNumber(number), ProposalNumber.ZERO, null);
        }
        byte[] payload = new byte[40 + accepted % 7 * 10];
        Arrays.fill(payload, (byte) accepted);
        List<AcceptorMember> members = List.of(new AcceptorMember("disk-1", "10.0.0.1:7000"));
        return new AcceptorState(proposalNumber(number), proposalNumber(accepted), new RegisterValue(members, payload));
    }

    private static ProposalNumber proposalNumber(int number) {
        return new ProposalNumber(number, "p");
    }
}
