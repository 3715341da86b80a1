package burlarch.coordination.register.acceptorset;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorSetPlannerTest {
    private static final long REMOVE_AFTER = 2_000;
    private static final long NOW = 10_000;
    private static final int LEAST = 3;

    private final AcceptorSetPlanner plan = new AcceptorSetPlanner(REMOVE_AFTER, LEAST);

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

    private static Candidate down(String name, long since) {
        return Candidate.ofUnreachable(member(name), since);
    }

    @Test
    void completeSetStays() {
        assertThat(plan.nextMembers(members("abc"), List.of(up("a"), up("b"), up("c")), NOW))
                .isEmpty();
    }

    @Test
    void aWipedDiskIsReplacedAtItsAddress() {
        Candidate wiped = Candidate.ofReachable(new AcceptorMember("disk-new", "b"), 0);
        assertThat(plan.nextMembers(members("abc"), List.of(up("a"), wiped, up("c")), NOW)
                        .orElseThrow())
                .containsExactly(member("a"), member("c"), wiped.member());
    }

    @Test
    void anAcceptorThatAbstainsIsReplacedAndIsNoSpare() {
        Candidate abstains = Candidate.ofAbstaining(member("b"), 0);
        assertThat(plan.nextMembers(members("abc"), List.of(up("a"), abstains, up("c"), up("d")), NOW)
                        .orElseThrow())
                .containsExactly(member("a"), member("c"), member("d"));
        assertThat(plan.nextMembers(members("acd"), List.of(up("a"), abstains, up("c"), up("d"), up("e")), NOW))
                .isEmpty();
    }

    @Test
    void singleSpareIsNotAdded() {
        assertThat(plan.nextMembers(members("abc"), List.of(up("a"), up("b"), up("c"), up("d")), NOW))
                .isEmpty();
    }

    /** An even set tolerates no more losses than the odd one below it, and needs one more for its quorum. */
    @Test
    void twoSparesAreAddedAtOnce() {
        List<Candidate> five = List.of(up("a"), up("b"), up("c"), up("d"), up("e"));
        assertThat(plan.nextMembers(members("abc"), five, NOW).orElseThrow())
                .containsExactlyElementsOf(members("abcde"));
        assertThat(plan.nextMembers(members("abcde"), five, NOW)).isEmpty();
    }

    /** With four between, the loss of the spare would leave no quorum: the one before is lost already. */
    @Test
    void spareReplacesAnAcceptorThatIsUnreachableForLong() {
        List<Candidate> lost = List.of(up("a"), down("b", NOW - REMOVE_AFTER), up("c"), up("d"));
        assertThat(plan.nextMembers(members("abc"), lost, NOW).orElseThrow()).containsExactlyElementsOf(members("acd"));
    }

    @Test
    void anotherSpareIsTriedAfterAFailedChange() {
        List<Candidate> lost = List.of(up("a"), down("b", 0), up("c"), up("d"), up("e"));
        List<AcceptorMember> withD = plan.nextMembers(members("abc"), lost, NOW).orElseThrow();
        assertThat(withD).containsExactlyElementsOf(members("acd"));
        plan.onChangeFailed(members("abc"), withD, NOW);
        assertThat(plan.nextMembers(members("abc"), lost, NOW + 1).orElseThrow())
                .containsExactlyElementsOf(members("ace"));
        assertThat(plan.nextMembers(members("abc"), lost, NOW + AcceptorSetPlanner.FAILED_SPARE_EXCLUSION_NANOS)
                        .orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    @Test
    void anotherSpareIsTriedForAnEmptyDiskThatCannotBeAdded() {
        Candidate wiped = Candidate.ofReachable(new AcceptorMember("disk-new", "b"), 0);
        List<Candidate> all = List.of(up("a"), wiped, up("c"), up("d"));
        List<AcceptorMember> first = plan.nextMembers(members("abc"), all, NOW).orElseThrow();
        assertThat(first).contains(wiped.member());
        plan.onChangeFailed(members("abc"), first, NOW);
        assertThat(plan.nextMembers(members("abc"), all, NOW).orElseThrow()).containsExactlyElementsOf(members("acd"));
    }

    @Test
    void evenSetBecomesOddAgain() {
        List<Candidate> four = List.of(up("a"), up("b"), up("c"), up("d"));
        assertThat(plan.nextMembers(members("abcd"), four, NOW)).isEmpty();
        List<Candidate> five = List.of(up("a"), up("b"), up("c"), up("d"), up("e"));
        assertThat(plan.nextMembers(members("abcd"), five, NOW).orElseThrow())
                .containsExactlyElementsOf(members("abcde"));
        List<Candidate> lost = List.of(up("a"), down("b", 0), up("c"), up("d"), up("e"));
        assertThat(plan.nextMembers(members("abcd"), lost, NOW).orElseThrow())
                .containsExactlyElementsOf(members("acd"));
    }

    /** The three that remain of five tolerate no further loss; as a set of their own they tolerate one. */
    @Test
    void twoLostAcceptorsAreRemovedTogetherWithoutSpares() {
        List<Candidate> three = List.of(up("a"), up("b"), up("c"), down("d", 0), down("e", 0));
        assertThat(plan.nextMembers(members("abcde"), three, NOW).orElseThrow())
                .containsExactlyElementsOf(members("abc"));
        AcceptorSetPlanner toleratingTwo = new AcceptorSetPlanner(REMOVE_AFTER, 5);
        assertThat(toleratingTwo.nextMembers(members("abcde"), three, NOW)).isEmpty();
    }

    @Test
    void acceptorThatIsUnreachableForShortOrHasNoSpareStays() {
        assertThat(plan.nextMembers(
                        members("abc"), List.of(up("a"), down("b", NOW - REMOVE_AFTER + 1), up("c"), up("d")), NOW))
                .isEmpty();
        assertThat(plan.nextMembers(members("abc"), List.of(up("a"), down("b", 0), up("c")), NOW))
                .isEmpty();
    }
}
