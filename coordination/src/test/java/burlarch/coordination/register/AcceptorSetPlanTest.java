package burlarch.coordination.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorSetPlan.Candidate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorSetPlanTest {
    private static final long REMOVE_AFTER = 2_000;
    private static final long NOW = 10_000;

    private final AcceptorSetPlan plan = new AcceptorSetPlan(REMOVE_AFTER);

    private static Member member(String name) {
        return new Member("disk-" + name, name);
    }

    private static List<Member> members(String names) {
        List<Member> members = new ArrayList<>();
        for (String name : names.split("")) {
            members.add(member(name));
        }
        return members;
    }

    private static Candidate up(String name) {
        return new Candidate(member(name), true, 0);
    }

    private static Candidate down(String name, long since) {
        return new Candidate(member(name), false, since);
    }

    @Test
    void aSetThatIsWholeStays() {
        assertThat(plan.next(members("abc"), List.of(up("a"), up("b"), up("c")), NOW)).isEmpty();
    }

    @Test
    void aWipedDiskIsReplacedAtItsAddress() {
        Candidate wiped = new Candidate(new Member("disk-new", "b"), true, 0);
        assertThat(plan.next(members("abc"), List.of(up("a"), wiped, up("c")), NOW).orElseThrow())
                .containsExactly(member("a"), member("c"), wiped.member());
    }

    @Test
    void aSingleSpareStandsBy() {
        assertThat(plan.next(members("abc"), List.of(up("a"), up("b"), up("c"), up("d")), NOW)).isEmpty();
    }

    @Test
    void twoSparesAreAddedOneAfterTheOther() {
        List<Candidate> five = List.of(up("a"), up("b"), up("c"), up("d"), up("e"));
        List<Member> four = plan.next(members("abc"), five, NOW).orElseThrow();
        assertThat(four).containsExactlyElementsOf(members("abcd"));
        assertThat(plan.next(four, five, NOW).orElseThrow()).containsExactlyElementsOf(members("abcde"));
        assertThat(plan.next(members("abcde"), five, NOW)).isEmpty();
    }

    @Test
    void aSpareTakesThePlaceOfOneThatIsLongOutOfReach() {
        List<Candidate> lost = List.of(up("a"), down("b", NOW - REMOVE_AFTER), up("c"), up("d"));
        List<Member> four = plan.next(members("abc"), lost, NOW).orElseThrow();
        assertThat(four).containsExactlyElementsOf(members("abcd"));
        assertThat(plan.next(four, lost, NOW).orElseThrow()).containsExactlyElementsOf(members("acd"));
    }

    @Test
    void oneThatIsShortlyOutOfReachOrHasNoSpareStays() {
        assertThat(plan.next(members("abc"), List.of(up("a"), down("b", NOW - REMOVE_AFTER + 1), up("c"),
                up("d")), NOW)).isEmpty();
        assertThat(plan.next(members("abc"), List.of(up("a"), down("b", 0), up("c")), NOW)).isEmpty();
    }
}
