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

/** Sees every disk and knows which values are chosen, whoever else may know it. */
final class ChosenValues {
    private final Map<ProposalNumber, RegisterValue> written = new HashMap<>();
    private final Map<ProposalNumber, Set<String>> holders = new HashMap<>();
    private final TreeMap<ProposalNumber, RegisterValue> chosen = new TreeMap<>();

    /** Notes what has become durable on a disk. */
    void onDurable(String storage, AcceptorState state) {
        if (state.value() == null) {
            return;
        }
        ProposalNumber ballot = state.accepted();
        RegisterValue value = written.computeIfAbsent(ballot, unseen -> state.value());
        assertThat(value).as("one value for a ballot").isSameAs(state.value());
        Set<String> storages = holders.computeIfAbsent(ballot, unseen -> new HashSet<>());
        storages.add(storage);
        if (!chosen.containsKey(ballot) && AcceptorSet.of(value.members()).hasQuorum(storages)) {
            onChosen(ballot, value);
        }
    }

    /** The newest chosen value, or null. */
    RegisterValue newest() {
        return chosen.isEmpty() ? null : chosen.lastEntry().getValue();
    }

    /** Ballot of {@link #newest()}. */
    ProposalNumber newestBallot() {
        return chosen.isEmpty() ? ProposalNumber.ZERO : chosen.lastKey();
    }

    /** Checks that no value holds a change that was said to be in none. */
    void requireNone(Set<Integer> never) {
        for (RegisterValue value : chosen.values()) {
            assertThat(Collections.disjoint(History.of(value).changes(), never))
                    .as("%s without %s", History.of(value), never)
                    .isTrue();
        }
    }

    int count() {
        return chosen.size();
    }

    private void onChosen(ProposalNumber ballot, RegisterValue value) {
        chosen.put(ballot, value);
        Map.Entry<ProposalNumber, RegisterValue> below = chosen.lowerEntry(ballot);
        Map.Entry<ProposalNumber, RegisterValue> above = chosen.higherEntry(ballot);
        if (below != null) {
            requireChain(below.getValue(), value);
        }
        if (above != null) {
            requireChain(value, above.getValue());
        }
    }

    private static void requireChain(RegisterValue earlier, RegisterValue later) {
        assertThat(History.of(later).beginsWith(History.of(earlier)))
                .as("%s then %s", History.of(earlier), History.of(later))
                .isTrue();
    }
}
