package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.register.proposal.SetChangeExplorer.Kind;
import burlarch.coordination.register.proposal.SimulatedAcceptorSet.PlantedFaults;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that each set change is safe against any tolerated loss at any moment of it. */
class SetChangeExplorerTest {
    private static final int MIN_HISTORIES = 1_000;
    private static final int SEEDS = Integer.getInteger("replacement.seeds", 1_000);

    @ParameterizedTest
    @MethodSource("changes")
    void everyRemainingDiskLeadsToTheChosenValueAfterASetChange(int members, Kind kind) {
        SetChangeExplorer explorer = new SetChangeExplorer(members, PlantedFaults.NONE, true);
        explorer.explore(kind);
        assertThat(explorer.historyCount()).isGreaterThan(MIN_HISTORIES);
    }

    static Stream<Arguments> changes() {
        return Stream.of(3, 4).flatMap(members -> Stream.of(Kind.values()).map(kind -> Arguments.of(members, kind)));
    }

    @Test
    void randomReplacementsLoseNoAcknowledgedValue() {
        int losses = 0;
        int changes = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ReplacementSearch search = new ReplacementSearch(seed, PlantedFaults.NONE);
            try {
                search.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
            losses += search.losses;
            changes += search.changes;
        }
        assertThat(losses).isGreaterThan(SEEDS);
        assertThat(changes).isGreaterThan(SEEDS);
    }

    /** Checks the exploration itself: it must detect each of these planted faults. */
    @ParameterizedTest
    @MethodSource("faults")
    void explorationDetectsPlantedFault(String name, Kind kind, PlantedFaults faults) {
        assertThatThrownBy(() -> new SetChangeExplorer(3, faults, true).explore(kind))
                .as(name)
                .isInstanceOf(Throwable.class);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("acceptors of the first start", Kind.LOST, new AlwaysInitialMembers()),
                Arguments.of("a wiped disk keeps its identity", Kind.WIPED, new ReusedIdentity()),
                Arguments.of("a successor responds without persisting", Kind.LOST, new UnpersistedValue()),
                Arguments.of("no majority of the set before", Kind.LOST, new OneMajority()),
                Arguments.of("by way of an even set", Kind.LOST, new EvenSet()));
    }

    private static final class AlwaysInitialMembers implements PlantedFaults {
        @Override
        public RegisterView view(RegisterView stored, List<AcceptorMember> initialMembers) {
            return RegisterView.ofInitialAcceptors(initialMembers);
        }
    }

    private static final class ReusedIdentity implements PlantedFaults {
        @Override
        public String identity(String previous, String newIdentity) {
            return previous;
        }
    }

    /** A spare that reports a value that it never persisted. */
    private static final class UnpersistedValue implements PlantedFaults {
        @Override
        public boolean persists(String storageId) {
            return !storageId.startsWith("m3");
        }
    }

    /** Acceptors that treat a joint set as the simple set that follows it. */
    private static final class OneMajority implements PlantedFaults {
        private final Map<ProposalNumber, RegisterValue> simpleValues = new HashMap<>();

        @Override
        public RegisterMessage delivered(RegisterMessage message) {
            if (!(message instanceof RegisterMessage.AcceptRequest accept)) {
                return message;
            }
            AcceptorSet set = AcceptorSet.of(accept.value().members());
            return !set.isJoint()
                    ? message
                    : new RegisterMessage.AcceptRequest(
                            accept.callId(),
                            accept.proposalNumber(),
                            simpleValues.computeIfAbsent(
                                    accept.proposalNumber(),
                                    number -> new RegisterValue(
                                            set.newMembers(), accept.value().payload())));
        }
    }

    /** A planner that adds the successor first and removes the lost acceptor later. */
    private static final class EvenSet implements PlantedFaults {
        @Override
        public List<AcceptorMember> nextMembers(List<AcceptorMember> members, List<AcceptorMember> planned) {
            List<AcceptorMember> joining = AcceptorSet.of(members).joining(planned);
            return Stream.concat(members.stream(), joining.stream()).toList();
        }
    }
}
