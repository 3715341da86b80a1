package burlarch.coordination.membership;

import static burlarch.coordination.membership.MemberState.ALIVE;
import static burlarch.coordination.membership.MemberState.DEAD;
import static burlarch.coordination.membership.MemberState.LEFT;
import static burlarch.coordination.membership.MemberState.SUSPECT;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MemberClaimTest {
    private static MemberClaim claim(long process, long incarnation, MemberState state) {
        return new MemberClaim(new MemberInfo("a", "1.2.3.4:5", "router", "z", process), incarnation, state);
    }

    @Test
    void withinOneProcessTheHigherIncarnationThenTheGraverStateWins() {
        assertThat(claim(1, 1, SUSPECT).supersedes(claim(1, 1, ALIVE))).isTrue();
        assertThat(claim(1, 1, ALIVE).supersedes(claim(1, 1, SUSPECT))).isFalse();
        assertThat(claim(1, 2, ALIVE).supersedes(claim(1, 1, DEAD))).isTrue();
        assertThat(claim(1, 1, LEFT).supersedes(claim(1, 1, DEAD))).isTrue();
        assertThat(claim(1, 1, DEAD).supersedes(claim(1, 2, ALIVE))).isFalse();
    }

    @Test
    void anotherProcessWinsOnlyByBeingAlive() {
        assertThat(claim(2, 9, DEAD).supersedes(claim(1, 0, ALIVE))).isFalse();
        assertThat(claim(2, 0, ALIVE).supersedes(claim(1, 9, DEAD))).isTrue();
        assertThat(claim(2, 9, ALIVE).supersedes(claim(1, 8, ALIVE))).isTrue();
        assertThat(claim(2, 7, ALIVE).supersedes(claim(1, 8, SUSPECT))).isFalse();
    }

    @Test
    void oneOfTwoLiveProcessesAlwaysWins() {
        assertThat(claim(2, 1, ALIVE).supersedes(claim(1, 1, ALIVE))).isTrue();
        assertThat(claim(1, 1, ALIVE).supersedes(claim(2, 1, ALIVE))).isFalse();
    }
}
