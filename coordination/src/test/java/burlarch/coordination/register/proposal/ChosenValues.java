package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Observes every disk and tracks which values are chosen, whether or not any process knows it. */
final class ChosenValues {
    private final Map<ProposalNumber, RegisterValue> valueByNumber = new HashMap<>();
    private final Map<ProposalNumber, Set<String>> storagesByNumber = new HashMap<>();
    private final TreeMap<ProposalNumber, RegisterValue> chosen = new TreeMap<>();

    /** Records a state that became durable on a disk. */
    void onDurable(String storageId, AcceptorState state) {
        if (state.value() == null) {
            return;
        }
        ProposalNumber number = state.accepted();
        RegisterValue value = valueByNumber.computeIfAbsent(number, key -> state.value());
        assertThat(value).as("one value for a proposal number").isSameAs(state.value());
        Set<String> storageIds = storagesByNumber.computeIfAbsent(number, key -> new HashSet<>());
        storageIds.add(storageId);
        if (!chosen.containsKey(number) && AcceptorSet.of(value.members()).hasQuorum(storageIds)) {
            onChosen(number, value);
        }
    }

    /** Returns the newest chosen value, or null if none is chosen. */
    RegisterValue newest() {
        return chosen.isEmpty() ? null : chosen.lastEntry().getValue();
    }

    /** Returns the proposal number of {@link #newest()}; ZERO if no value is chosen. */
    ProposalNumber newestNumber() {
        return chosen.isEmpty() ? ProposalNumber.ZERO : chosen.lastKey();
    }

    /** Asserts that no chosen value contains a change that was reported as never applied. */
    void assertContainsNone(Set<Integer> neverApplied) {
        for (RegisterValue value : chosen.values()) {
            assertThat(Collections.disjoint(History.of(value).changes(), neverApplied))
                    .as("%s without %s", History.of(value), neverApplied)
                    .isTrue();
        }
    }

    int count() {
        return chosen.size();
    }

    private void onChosen(ProposalNumber number, RegisterValue value) {
        chosen.put(number, value);
        Map.Entry<ProposalNumber, RegisterValue> previous = chosen.lowerEntry(number);
        Map.Entry<ProposalNumber, RegisterValue> next = chosen.higherEntry(number);
        if (previous != null) {
            assertExtends(previous.getValue(), value);
        }
        if (next != null) {
            assertExtends(value, next.getValue());
        }
    }

    private static void assertExtends(RegisterValue earlier, RegisterValue later) {
        assertThat(History.of(later).beginsWith(History.of(earlier)))
                .as("%s then %s", History.of(earlier), History.of(later))
                .isTrue();
    }
}
