package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorSet;
import burlarch.coordination.register.Member;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** A controller that doesn't reach a quorum must know so, or it answers for others that decide without it. */
class QuorumContactTest {
    private static final long LASTS = 1_000;

    private final QuorumContact contact = new QuorumContact("a", LASTS);

    private static AcceptorSet acceptors(String... storages) {
        return AcceptorSet.of(Stream.of(storages)
                .map(storage -> new Member(storage, "10.0.0.1:1"))
                .toList());
    }

    @Test
    void theOnlyAcceptorIsAQuorum() {
        assertThat(contact.holds(acceptors("a"), 0)).isTrue();
    }

    @Test
    void oneOfThreeIsNone() {
        assertThat(contact.holds(acceptors("a", "b", "c"), 0)).isFalse();
    }

    @Test
    void itLastsForItsTimeAfterAQuorumWasHeard() {
        contact.onHeard("b", 5_000);
        assertThat(contact.holds(acceptors("a", "b", "c"), 5_000)).isTrue();
        assertThat(contact.holds(acceptors("a", "b", "c"), 5_999)).isTrue();
        assertThat(contact.holds(acceptors("a", "b", "c"), 6_000)).isFalse();
    }

    /** The clock goes on in a standstill: what was heard before it counts no more. */
    @Test
    void afterAStandstillItHoldsOnlyOnceTheyWereHeardAgain() {
        contact.onHeard("b", 1_000);
        contact.onHeard("c", 1_000);
        assertThat(contact.holds(acceptors("a", "b", "c"), 9_000)).isFalse();
        contact.onHeard("c", 9_001);
        assertThat(contact.holds(acceptors("a", "b", "c"), 9_001)).isTrue();
    }

    /** What waited in the connection's buffer through a standstill is read late; its end comes behind it. */
    @Test
    void itEndsWithTheConnection() {
        contact.onHeard("b", 1_000);
        contact.onLost("b");
        assertThat(contact.holds(acceptors("a", "b", "c"), 1_000)).isFalse();
    }

    @Test
    void whoIsNoAcceptorDoesNotCount() {
        contact.onHeard("x", 1_000);
        contact.onHeard("y", 1_000);
        assertThat(contact.holds(acceptors("a", "b", "c"), 1_000)).isFalse();
        assertThat(contact.holds(acceptors("b", "c", "d"), 1_000)).isFalse();
    }

    /** A machine that came back with an empty disk has a new identity and no vote. */
    @Test
    void theOwnAcceptorCountsOnlyWhereItHasAVote() {
        contact.onHeard("b", 1_000);
        assertThat(contact.holds(acceptors("former-a", "b", "c"), 1_000)).isFalse();
        contact.onHeard("c", 1_000);
        assertThat(contact.holds(acceptors("former-a", "b", "c"), 1_000)).isTrue();
    }

    @Test
    void aSetThatChangesNeedsBothMajorities() {
        AcceptorSet changing = AcceptorSet.of(List.of(
                new Member("a", "1"),
                new Member("b", "2"),
                new Member("-c", "3"),
                new Member("+d", "4"),
                new Member("+e", "5")));
        contact.onHeard("b", 1_000);
        assertThat(contact.holds(changing, 1_000)).as("of a b c").isFalse();
        contact.onHeard("d", 1_000);
        assertThat(contact.holds(changing, 1_000)).as("of a b c and of a b d e").isTrue();
    }

    @Test
    void withoutAnyKnownAcceptorThereIsNoQuorum() {
        assertThat(contact.holds(acceptors(), 0)).isFalse();
    }

    @Test
    void whatIsRememberedIsBounded() {
        contact.onHeard("b", 0);
        for (int i = 0; i < QuorumContact.MOST_ACCEPTORS; i++) {
            contact.onHeard("other-" + i, 0);
        }
        assertThat(contact.holds(acceptors("a", "b", "c"), 0)).isFalse();
    }
}
