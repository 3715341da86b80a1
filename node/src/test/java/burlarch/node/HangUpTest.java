package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class HangUpTest {
    @Test
    void aSignalBeforeThereIsAListenerIsKeptForIt() {
        AtomicInteger told = new AtomicInteger();
        HangUp.arrived();
        HangUp.listen(told::incrementAndGet);
        assertThat(told).hasValue(1);
        HangUp.arrived();
        assertThat(told).hasValue(2);
    }
}
