package burlarch.coordination.register.acceptorset;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorSetPlannerTest {
    private static final long REMOVE_AFTER_NANOS = 2_000;
    private static final long NOW_NANOS = 10_000;
    private static final int MIN_MEMBERS = 3;

    private final AcceptorSetPlanner planner = new AcceptorSetPlanner(REMOVE_AFTER_NANOS, MIN_MEMBERS);

    private static AcceptorMember member(String name) {
        return new AcceptorMember("disk-" + name, name);
    }

    private static List<AcceptorMember> members(String names) {
        List<AcceptorMember> members = new ArrayList<>();
        for (String name : names.split("")) {
            members.add(member(name));
        }
        return members;
    }

    private static Candidate up(String name) {
        return Candidate.ofReachable(member(name), 0);
    }

    private static Candidate down(String name, long sinceNanos) {
        return Candidate.ofUnreachable(member(name), sinceNanos);
    }

    @Test
    void completeSetIsNotChanged() {
        assertThat(planner.nextMembers(members("abc"), List.of(up("a"), up("b"), up("c")), NOW_NANOS))
                .isEmpty();
    }

    @Test
    void wipedDiskIsReplacedAtItsAddress() {
        Candidate wipedCandidate = Candidate.ofReachable(new AcceptorMember("disk-new", "b"), 0);
        assertThat(planner.nextMembers(members("abc"), List.of(up("a"), wipedCandidate, up("c")), NOW_NANOS)
                        .orElseThrow())
                .containsExactly(member("a"), member("c"), wipedCandidate.member());
    }

    @Test
    void abstainingAcceptorIsReplacedAndIsNoSpare() {
        Candidate abstaining = Candidate.ofAbstaining(member("b"), 0);
        assertThat(planner.nextMembers(members("abc"), List.of(up("a"), abstaining, up("c"), up("d")), NOW_NANOS)
                        .orElseThrow())
                .containsExactly(member("a"), member("c"), member("d"));
        assertThat(planner.nextMembers(
                        members("acd"), List.of(up("a"), abstaining, up("c"), up("d"), up("e")), NOW_NANOS))
                .isEmpty();
    }

    @Test
    void singleSpareIsNotAdded() {
        assertThat(planner.nextMembers(members("abc"), List.of(up("a"), up("b"), up("c"), up("d")), NOW_NANOS))
                .isEmpty();
    }

    /**
     * An even set tolerates no more losses than the odd set one smaller, but needs one more acceptor for its quorum.
     */
    @Test
    void twoSparesAreAddedAtOnce() {
        List<Candidate> fiveCandidates = List.of(up("a"), up("b"), up("c"), up("d"), up("e"));
        assertThat(planner.nextMembers(members("abc"), fiveCandidates, NOW_NANOS)
                        .orElseThrow())
                .containsExactlyElementsOf(members("abcde"));
        assertThat(planner.nextMembers(members("abcde"), fiveCandidates, NOW_NANOS))
                .isEmpty();
    }

    /**
     * With an intermediate set of four, the loss of the spare would leave no quorum, as one acceptor is lost already.
     */
    @Test
    void spareReplacesAnAcceptorThatIsUnreachableForTheRemovalTime() {
        List<Candidate> candidates = List.of(up("a"), down("b", NOW_NANOS - REMOVE_AFTER_NANOS), up("c"), up("d"));
        assertThat(planner.nextMembers(members("abc"), candidates, NOW_NANOS).orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    @Test
    void anotherSpareIsTriedAfterAFailedChange() {
        List<Candidate> candidates = List.of(up("a"), down("b", 0), up("c"), up("d"), up("e"));
        List<AcceptorMember> withD =
                planner.nextMembers(members("abc"), candidates, NOW_NANOS).orElseThrow();
        assertThat(withD).containsExactlyElementsOf(members("acd"));
        planner.onChangeFailed(members("abc"), withD, NOW_NANOS);
        assertThat(planner.nextMembers(members("abc"), candidates, NOW_NANOS + 1)
                        .orElseThrow())
                .containsExactlyElementsOf(members("ace"));
        assertThat(planner.nextMembers(
                                members("abc"), candidates, NOW_NANOS + AcceptorSetPlanner.FAILED_SPARE_EXCLUSION_NANOS)
                        .orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    @Test
    void anotherSpareIsTriedForAnEmptyDiskThatCannotBeAdded() {
        Candidate wipedCandidate = Candidate.ofReachable(new AcceptorMember("disk-new", "b"), 0);
        List<Candidate> candidates = List.of(up("a"), wipedCandidate, up("c"), up("d"));
        List<AcceptorMember> first =
                planner.nextMembers(members("abc"), candidates, NOW_NANOS).orElseThrow();
        assertThat(first).contains(wipedCandidate.member());
        planner.onChangeFailed(members("abc"), first, NOW_NANOS);
        assertThat(planner.nextMembers(members("abc"), candidates, NOW_NANOS).orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    @Test
    void evenSetBecomesOdd() {
        List<Candidate> fourCandidates = List.of(up("a"), up("b"), up("c"), up("d"));
        assertThat(planner.nextMembers(members("abcd"), fourCandidates, NOW_NANOS))
                .isEmpty();
        List<Candidate> fiveCandidates = List.of(up("a"), up("b"), up("c"), up("d"), up("e"));
        assertThat(planner.nextMembers(members("abcd"), fiveCandidates, NOW_NANOS)
                        .orElseThrow())
                .containsExactlyElementsOf(members("abcde"));
        List<Candidate> candidates = List.of(up("a"), down("b", 0), up("c"), up("d"), up("e"));
        assertThat(planner.nextMembers(members("abcd"), candidates, NOW_NANOS).orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    /** The three acceptors that remain of five tolerate no further loss; a set of only these three tolerates one. */
    @Test
    void twoLostAcceptorsAreRemovedTogetherWithoutSpares() {
        List<Candidate> threeReachable = List.of(up("a"), up("b"), up("c"), down("d", 0), down("e", 0));
        assertThat(planner.nextMembers(members("abcde"), threeReachable, NOW_NANOS)
                        .orElseThrow())
                .containsExactlyElementsOf(members("abc"));
        AcceptorSetPlanner toleratingTwo = new AcceptorSetPlanner(REMOVE_AFTER_NANOS, 5);
        assertThat(toleratingTwo.nextMembers(members("abcde"), threeReachable, NOW_NANOS))
                .isEmpty();
    }

    @Test
    void acceptorThatIsBrieflyUnreachableOrHasNoSpareIsKept() {
        assertThat(planner.nextMembers(
                        members("abc"),
                        List.of(up("a"), down("b", NOW_NANOS - REMOVE_AFTER_NANOS + 1), up("c"), up("d")),
                        NOW_NANOS))
                .isEmpty();
        assertThat(planner.nextMembers(members("abc"), List.of(up("a"), down("b", 0), up("c")), NOW_NANOS))
                .isEmpty();
    }
}
