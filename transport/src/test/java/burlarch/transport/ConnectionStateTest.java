package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.transport.ConnectionState.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the transition table of {@link ConnectionState}. */
class ConnectionStateTest {
    @Test
    void helloCompletesTheHandshakeOnlyOnce() {
        assertThat(ConnectionState.HANDSHAKING.after(Event.HELLO_RECEIVED)).isEqualTo(ConnectionState.CONNECTED);
        assertThatThrownBy(() -> ConnectionState.CONNECTED.after(Event.HELLO_RECEIVED))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    void everyOpenStateCanBeClosed() {
        assertThat(ConnectionState.HANDSHAKING.after(Event.CLOSED)).isEqualTo(ConnectionState.CLOSED);
        assertThat(ConnectionState.CONNECTED.after(Event.CLOSED)).isEqualTo(ConnectionState.CLOSED);
    }

    @ParameterizedTest
    @EnumSource(Event.class)
    void noEventIsValidInStateClosed(Event event) {
        assertThatThrownBy(() -> ConnectionState.CLOSED.after(event)).isInstanceOf(IllegalStateException.class);
    }
}
