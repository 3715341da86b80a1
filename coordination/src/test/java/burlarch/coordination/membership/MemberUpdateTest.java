package burlarch.coordination.membership;

import static burlarch.coordination.membership.MemberState.ALIVE;
import static burlarch.coordination.membership.MemberState.DEAD;
import static burlarch.coordination.membership.MemberState.LEFT;
import static burlarch.coordination.membership.MemberState.SUSPECT;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MemberUpdateTest {
    private static MemberUpdate claim(long process, long incarnation, MemberState state) {
        return new MemberUpdate(new MemberInfo("a", "1.2.3.4:5", "router", "z", process), incarnation, state);
    }

    @Test
    void withinOneProcessTheHigherIncarnationThenTheGraverStateWins() {
        assertThat(claim(1, 1, SUSPECT).overrides(claim(1, 1, ALIVE))).isTrue();
        assertThat(claim(1, 1, ALIVE).overrides(claim(1, 1, SUSPECT))).isFalse();
        assertThat(claim(1, 2, ALIVE).overrides(claim(1, 1, DEAD))).isTrue();
        assertThat(claim(1, 1, LEFT).overrides(claim(1, 1, DEAD))).isTrue();
        assertThat(claim(1, 1, DEAD).overrides(claim(1, 2, ALIVE))).isFalse();
    }

    @Test
    void anotherProcessWinsOnlyByBeingAlive() {
        assertThat(claim(2, 9, DEAD).overrides(claim(1, 0, ALIVE))).isFalse();
        assertThat(claim(2, 0, ALIVE).overrides(claim(1, 9, DEAD))).isTrue();
        assertThat(claim(2, 9, ALIVE).overrides(claim(1, 8, ALIVE))).isTrue();
        assertThat(claim(2, 7, ALIVE).overrides(claim(1, 8, SUSPECT))).isFalse();
    }

    @Test
    void oneOfTwoLiveProcessesAlwaysWins() {
        assertThat(claim(2, 1, ALIVE).overrides(claim(1, 1, ALIVE))).isTrue();
        assertThat(claim(1, 1, ALIVE).overrides(claim(2, 1, ALIVE))).isFalse();
    }
}
