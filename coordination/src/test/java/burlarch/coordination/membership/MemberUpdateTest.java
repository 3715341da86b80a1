package burlarch.coordination.membership;

import static burlarch.coordination.membership.MemberState.ALIVE;
import static burlarch.coordination.membership.MemberState.DEAD;
import static burlarch.coordination.membership.MemberState.LEFT;
import static burlarch.coordination.membership.MemberState.SUSPECT;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MemberUpdateTest {
    private static MemberUpdate update(long process, long incarnation, MemberState state) {
        return new MemberUpdate(new MemberInfo("a", "1.2.3.4:5", "router", "z", process), incarnation, state);
    }

    @Test
    void updateOfTheSameProcessOverridesByIncarnationThenByState() {
        assertThat(update(1, 1, SUSPECT).overrides(update(1, 1, ALIVE))).isTrue();
        assertThat(update(1, 1, ALIVE).overrides(update(1, 1, SUSPECT))).isFalse();
        assertThat(update(1, 2, ALIVE).overrides(update(1, 1, DEAD))).isTrue();
        assertThat(update(1, 1, LEFT).overrides(update(1, 1, DEAD))).isTrue();
        assertThat(update(1, 1, DEAD).overrides(update(1, 2, ALIVE))).isFalse();
    }

    @Test
    void updateOfAnotherProcessOverridesOnlyIfAlive() {
        assertThat(update(2, 9, DEAD).overrides(update(1, 0, ALIVE))).isFalse();
        assertThat(update(2, 0, ALIVE).overrides(update(1, 9, DEAD))).isTrue();
        assertThat(update(2, 9, ALIVE).overrides(update(1, 8, ALIVE))).isTrue();
        assertThat(update(2, 7, ALIVE).overrides(update(1, 8, SUSPECT))).isFalse();
    }

    @Test
    void exactlyOneOfTwoLiveProcessesOverridesAtEqualIncarnations() {
        assertThat(update(2, 1, ALIVE).overrides(update(1, 1, ALIVE))).isTrue();
        assertThat(update(1, 1, ALIVE).overrides(update(2, 1, ALIVE))).isFalse();
    }
}
