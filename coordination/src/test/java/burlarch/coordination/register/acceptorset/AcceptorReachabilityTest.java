package burlarch.coordination.register.acceptorset;

import static burlarch.coordination.register.acceptorset.TestMembers.member;
import static burlarch.coordination.register.acceptorset.TestMembers.members;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the reachability of acceptor sets, and the texts in log lines for operators about it and about set changes.
 */
class AcceptorReachabilityTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final AcceptorSet THREE_ACCEPTORS = AcceptorSet.of(members("a", "b", "c"));

    @Test
    void unreachableAcceptorsAreNamedWithTheReason() {
        Candidate wipedCandidate =
                Candidate.ofReachable(new AcceptorMember("new", member("b").address()), 0);
        List<Candidate> candidates = List.of(Candidate.ofReachable(member("a"), 0), wipedCandidate);
        AcceptorReachability reachability = AcceptorReachability.of(THREE_ACCEPTORS, candidates, NANOS_PER_SECOND);
        assertThat(reachability.quorumReachable()).isFalse();
        assertThat(reachability.unreachable())
                .extracting(Object::toString)
                .containsExactly(
                        "address-of-b (disk ...b) came back without that disk",
                        "address-of-c (disk ...c) was not reached yet");
    }

    @Test
    void quorumIsReachableWithoutAMinority() {
        List<Candidate> candidates = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofUnreachable(member("b"), NANOS_PER_SECOND),
                Candidate.ofReachable(member("c"), 0));
        AcceptorReachability reachability = AcceptorReachability.of(THREE_ACCEPTORS, candidates, 4 * NANOS_PER_SECOND);
        assertThat(reachability.quorumReachable()).isTrue();
        assertThat(reachability.unreachable())
                .extracting(Object::toString)
                .containsExactly("address-of-b (disk ...b) is out of reach for 3 s");
    }

    @Test
    void abstainingAcceptorIsNamedAsUnreachable() {
        List<Candidate> candidates = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofAbstaining(member("b"), NANOS_PER_SECOND),
                Candidate.ofAbstaining(member("c"), NANOS_PER_SECOND));
        AcceptorReachability reachability = AcceptorReachability.of(THREE_ACCEPTORS, candidates, 4 * NANOS_PER_SECOND);
        assertThat(reachability.quorumReachable()).isFalse();
        assertThat(reachability.unreachable())
                .extracting(Object::toString)
                .contains("address-of-b (disk ...b) cannot write its disk for 3 s");
    }

    @Test
    void jointSetNeedsAMajorityOfBothLists() {
        AcceptorSet jointSet = AcceptorSet.of(AcceptorSet.jointMembers(members("a", "b", "c"), members("c", "d", "e")));
        List<Candidate> candidates = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofReachable(member("b"), 0),
                Candidate.ofReachable(member("c"), 0));
        assertThat(AcceptorReachability.of(jointSet, candidates, NANOS_PER_SECOND)
                        .quorumReachable())
                .isFalse();
    }

    @Test
    void setChangeIsDescribedByAddedAndRemovedAcceptors() {
        AcceptorSetChange change = AcceptorSetChange.between(members("a", "b", "c"), members("b", "c", "d"));
        assertThat(change).hasToString("added address-of-d (disk ...d), removed address-of-a (disk ...a), size 3");
        assertThat(AcceptorSetChange.between(members("a"), members("a")).isEmpty())
                .isTrue();
    }
}
