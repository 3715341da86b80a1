package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a controller that does not notice that it lost its quorum and keeps answering while the others
 * decide without it.
 */
class QuorumContactTrackerTest {
    private static final long CONTACT_TIMEOUT_NANOS = 1_000;

    private final QuorumContactTracker tracker = new QuorumContactTracker("a", CONTACT_TIMEOUT_NANOS);

    private static AcceptorSet acceptors(String... storageIds) {
        return AcceptorSet.of(Stream.of(storageIds)
                .map(storageId -> new AcceptorMember(storageId, "10.0.0.1:1"))
                .toList());
    }

    @Test
    void ownAcceptorAloneIsAQuorumOfASetOfOne() {
        assertThat(tracker.hasQuorum(acceptors("a"), 0)).isTrue();
    }

    @Test
    void ownAcceptorIsNoQuorumOfThree() {
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 0)).isFalse();
    }

    @Test
    void contactLastsForTheTimeoutAfterTheLastMessage() {
        tracker.onHeardFrom("b", 5_000);
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 5_000)).isTrue();
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 5_999)).isTrue();
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 6_000)).isFalse();
    }

    /** The clock advances while the process is frozen, so messages from before the freeze no longer count. */
    @Test
    void noContactAfterAFreezeUntilNewMessagesArrive() {
        tracker.onHeardFrom("b", 1_000);
        tracker.onHeardFrom("c", 1_000);
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 9_000)).isFalse();
        tracker.onHeardFrom("c", 9_001);
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 9_001)).isTrue();
    }

    /**
     * Messages that were buffered during a freeze are read late, before the end of their connection; that end must
     * revoke the contact.
     */
    @Test
    void contactEndsWhenTheConnectionIsLost() {
        tracker.onHeardFrom("b", 1_000);
        tracker.onConnectionLost("b");
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 1_000)).isFalse();
    }

    @Test
    void processesOutsideTheSetDoNotCount() {
        tracker.onHeardFrom("x", 1_000);
        tracker.onHeardFrom("y", 1_000);
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 1_000)).isFalse();
        assertThat(tracker.hasQuorum(acceptors("b", "c", "d"), 1_000)).isFalse();
    }

    /** A machine that came back with an empty disk has a new storage identity and no vote. */
    @Test
    void ownAcceptorWithoutVoteDoesNotCount() {
        tracker.onHeardFrom("b", 1_000);
        assertThat(tracker.hasQuorum(acceptors("former-a", "b", "c"), 1_000)).isFalse();
        tracker.onHeardFrom("c", 1_000);
        assertThat(tracker.hasQuorum(acceptors("former-a", "b", "c"), 1_000)).isTrue();
    }

    @Test
    void jointSetNeedsAMajorityOfBothLists() {
        AcceptorSet jointSet = AcceptorSet.of(List.of(
                new AcceptorMember("a", "1"),
                new AcceptorMember("b", "2"),
                new AcceptorMember("-c", "3"),
                new AcceptorMember("+d", "4"),
                new AcceptorMember("+e", "5")));
        tracker.onHeardFrom("b", 1_000);
        assertThat(tracker.hasQuorum(jointSet, 1_000)).as("of a b c").isFalse();
        tracker.onHeardFrom("d", 1_000);
        assertThat(tracker.hasQuorum(jointSet, 1_000))
                .as("of a b c and of a b d e")
                .isTrue();
    }

    @Test
    void emptyAcceptorSetHasNoQuorum() {
        assertThat(tracker.hasQuorum(acceptors(), 0)).isFalse();
    }

    @Test
    void trackedAcceptorsAreBounded() {
        tracker.onHeardFrom("b", 0);
        for (int i = 0; i < QuorumContactTracker.MAX_ACCEPTORS; i++) {
            tracker.onHeardFrom("other-" + i, 0);
        }
        assertThat(tracker.hasQuorum(acceptors("a", "b", "c"), 0)).isFalse();
    }
}
