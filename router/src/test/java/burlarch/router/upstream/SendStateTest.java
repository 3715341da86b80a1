package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import org.junit.jupiter.api.Test;

/** Illegal transitions of a send. */
class SendStateTest {
    @Test
    void illegalTransitionsAreRejected() {
        for (SendState finalState : EnumSet.of(SendState.REJECTED, SendState.RESPONDED)) {
            for (SendState nextState : SendState.values()) {
                assertThatThrownBy(() -> finalState.transitionTo(nextState)).isInstanceOf(IllegalStateException.class);
            }
        }
        assertThatThrownBy(() -> SendState.SENT.transitionTo(SendState.NOT_SENT))
                .isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> SendState.PARTLY_RESPONDED.transitionTo(SendState.REJECTED))
                .isInstanceOf(IllegalStateException.class);
    }
}
