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
import burlarch.coordination.register.proposal.SetChangeWorld.Faults;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Each change of the acceptors is safe against what may be lost in each instant of it. */
class SetChangeExplorerTest {
    private static final int LEAST_LIVES = 1_000;
    private static final int SEEDS = Integer.getInteger("replacement.seeds", 1_000);

    @ParameterizedTest
    @MethodSource("changes")
    void everyDiskThatIsLeftLeadsToWhatWasChosen(int members, Kind kind) {
        SetChangeExplorer explorer = new SetChangeExplorer(members, Faults.NONE, true);
        explorer.explore(kind);
        assertThat(explorer.lives()).isGreaterThan(LEAST_LIVES);
    }

    static Stream<Arguments> changes() {
        return Stream.of(3, 4).flatMap(members -> Stream.of(Kind.values()).map(kind -> Arguments.of(members, kind)));
    }

    @Test
    void drawnReplacementsLoseNothing() {
        int losses = 0;
        int changes = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ReplacementSearch life = new ReplacementSearch(seed, Faults.NONE);
            try {
                life.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
            losses += life.losses;
            changes += life.changes;
        }
        assertThat(losses).isGreaterThan(SEEDS);
        assertThat(changes).isGreaterThan(SEEDS);
    }

    /** What the exploration is worth: each of these faults is found by it. */
    @ParameterizedTest
    @MethodSource("faults")
    void findsPlantedFaults(String name, Kind kind, Faults faults) {
        assertThatThrownBy(() -> new SetChangeExplorer(3, faults, true).explore(kind))
                .as(name)
                .isInstanceOf(Throwable.class);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("acceptors of the first start", Kind.LOST, new FirstMembers()),
                Arguments.of("a wiped disk keeps its identity", Kind.WIPED, new KeptIdentity()),
                Arguments.of("a successor answers without holding", Kind.LOST, new UnheldValue()),
                Arguments.of("no majority of the set before", Kind.LOST, new OneMajority()),
                Arguments.of("by way of an even set", Kind.LOST, new EvenSet()));
    }

    private static final class FirstMembers implements Faults {
        @Override
        public RegisterView belief(RegisterView stored, List<AcceptorMember> first) {
            return RegisterView.ofInitialAcceptors(first);
        }
    }

    private static final class KeptIdentity implements Faults {
        @Override
        public String identity(String former, String fresh) {
            return former;
        }
    }

    /** The spare says that it holds what it never wrote. */
    private static final class UnheldValue implements Faults {
        @Override
        public boolean keeps(String storage) {
            return !storage.startsWith("m3");
        }
    }

    /** Acceptors take a changing set for the settled one after it. */
    private static final class OneMajority implements Faults {
        private final Map<ProposalNumber, RegisterValue> settled = new HashMap<>();

        @Override
        public RegisterMessage onTheWay(RegisterMessage message) {
            if (!(message instanceof RegisterMessage.AcceptRequest accept)) {
                return message;
            }
            AcceptorSet set = AcceptorSet.of(accept.value().members());
            return !set.isJoint()
                    ? message
                    : new RegisterMessage.AcceptRequest(
                            accept.callId(),
                            accept.proposalNumber(),
                            settled.computeIfAbsent(
                                    accept.proposalNumber(),
                                    ballot -> new RegisterValue(
                                            set.newMembers(), accept.value().payload())));
        }
    }

    /** The successor is added first, the lost one removed later. */
    private static final class EvenSet implements Faults {
        @Override
        public List<AcceptorMember> next(List<AcceptorMember> members, List<AcceptorMember> right) {
            List<AcceptorMember> joining = AcceptorSet.of(members).joining(right);
            return Stream.concat(members.stream(), joining.stream()).toList();
        }
    }
}
