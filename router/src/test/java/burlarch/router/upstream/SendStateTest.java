package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import org.junit.jupiter.api.Test;

class SendStateTest {
    @Test
    void nothingFollowsAnEnd() {
        for (SendState end : EnumSet.of(SendState.REJECTED, SendState.ANSWERED)) {
            for (SendState next : SendState.values()) {
                assertThatThrownBy(() -> end.transitionTo(next)).isInstanceOf(IllegalStateException.class);
            }
        }
        assertThatThrownBy(() -> SendState.SENT.transitionTo(SendState.NOT_SENT))
                .isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> SendState.ANSWERED_IN_PART.transitionTo(SendState.REJECTED))
                .isInstanceOf(IllegalStateException.class);
    }
}
