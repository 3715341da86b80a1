package burlarch.coordination.register.acceptorset;

import static burlarch.coordination.register.acceptorset.TestMembers.member;
import static burlarch.coordination.register.acceptorset.TestMembers.members;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What log lines tell operators of a set without a reachable quorum, and of a change of the set. */
class AcceptorReachabilityTest {
    private static final long SECOND = 1_000_000_000L;
    private static final AcceptorSet THREE = AcceptorSet.of(members("a", "b", "c"));

    @Test
    void namesUnreachableAcceptorsWithTheReason() {
        Candidate wiped =
                Candidate.ofReachable(new AcceptorMember("new", member("b").address()), 0);
        List<Candidate> known = List.of(Candidate.ofReachable(member("a"), 0), wiped);
        AcceptorReachability reach = AcceptorReachability.of(THREE, known, SECOND);
        assertThat(reach.quorumReachable()).isFalse();
        assertThat(reach.unreachable())
                .extracting(Object::toString)
                .containsExactly(
                        "address-of-b (disk ...b) came back without that disk",
                        "address-of-c (disk ...c) was not reached yet");
    }

    @Test
    void quorumIsReachableWithoutAMinority() {
        List<Candidate> known = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofUnreachable(member("b"), SECOND),
                Candidate.ofReachable(member("c"), 0));
        AcceptorReachability reach = AcceptorReachability.of(THREE, known, 4 * SECOND);
        assertThat(reach.quorumReachable()).isTrue();
        assertThat(reach.unreachable())
                .extracting(Object::toString)
                .containsExactly("address-of-b (disk ...b) is out of reach for 3 s");
    }

    @Test
    void namesAnAcceptorThatAbstains() {
        List<Candidate> known = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofAbstaining(member("b"), SECOND),
                Candidate.ofAbstaining(member("c"), SECOND));
        AcceptorReachability reach = AcceptorReachability.of(THREE, known, 4 * SECOND);
        assertThat(reach.quorumReachable()).isFalse();
        assertThat(reach.unreachable())
                .extracting(Object::toString)
                .contains("address-of-b (disk ...b) cannot write its disk for 3 s");
    }

    @Test
    void jointSetNeedsAMajorityOfBothLists() {
        AcceptorSet changing = AcceptorSet.of(AcceptorSet.jointMembers(members("a", "b", "c"), members("c", "d", "e")));
        List<Candidate> known = List.of(
                Candidate.ofReachable(member("a"), 0),
                Candidate.ofReachable(member("b"), 0),
                Candidate.ofReachable(member("c"), 0));
        assertThat(AcceptorReachability.of(changing, known, SECOND).quorumReachable())
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
