package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against the loss of a signal that arrives before the listener is set. */
class HangupSignalTest {
    @Test
    void signalBeforeListenerIsSetIsDeliveredLater() {
        AtomicInteger calls = new AtomicInteger();
        HangupSignal.onSignal();
        HangupSignal.setListener(calls::incrementAndGet);
        assertThat(calls).hasValue(1);
        HangupSignal.onSignal();
        assertThat(calls).hasValue(2);
    }
}
