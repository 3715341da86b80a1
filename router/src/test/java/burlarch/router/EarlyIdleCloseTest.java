package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.ascii;
import static burlarch.router.ScriptedEngine.whole;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/** An instance drops idle connections earlier than it announces, without a word: what is sent on one next is reset. */
class EarlyIdleCloseTest {
    private static final int CALLS = 60;
    /** Without learning each connection is used a second time, and every other call is lost. */
    private static final int MAX_LOST_CALLS = 12;

    @Test
    void callsThatMayNotBeRepeatedAreSeldomSentOnConnectionsThatWereDropped() throws Exception {
        Set<Integer> used = ConcurrentHashMap.newKeySet();
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, out) -> {
                    if (used.add(received.connection())) {
                        out.write(ascii(whole(received, "Keep-Alive: timeout=9\r\n", "good")));
                    } else {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            int lost = 0;
            for (int i = 0; i < CALLS; i++) {
                String body = client.ask(request("POST", "/once/a", "call" + i, "", "x"))
                        .body();
                lost += body.equals("good") ? 0 : 1;
            }
            assertThat(lost).isBetween(1, MAX_LOST_CALLS);
        }
    }
}
