package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.ascii;
import static burlarch.router.ScriptedEngine.whole;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** A router that can't be sure that no key was revoked forwards nothing that needs one. */
class CredentialValidityTest {
    @Test
    void requestsThatNeedAKeyAreRejectedUntilKeysMayBeAcceptedAgain() throws Exception {
        AtomicBoolean accepts = new AtomicBoolean();
        try (ScriptedEngine engine =
                        new ScriptedEngine((received, socket, out) -> out.write(ascii(whole(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withCredentials(receivedNanos -> accepts.get(), engine);
                RawClient client = fixture.client()) {
            RawClient.Response rejected = client.ask(request("POST", "/idem/a", "first", "", "x"));
            assertThat(rejected.status()).isEqualTo(503);
            assertThat(rejected.header("Retry-After")).isNotNull();
            assertThat(engine.requests()).isZero();

            accepts.set(true);
            assertThat(client.ask(request("POST", "/idem/a", "second", "", "x")).status())
                    .isEqualTo(200);
        }
    }

    @Test
    void theTimeOfReceiptIsWhatCounts() throws Exception {
        long[] seen = new long[1];
        long before = System.nanoTime();
        try (ScriptedEngine engine =
                        new ScriptedEngine((received, socket, out) -> out.write(ascii(whole(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withCredentials(
                        receivedNanos -> {
                            seen[0] = receivedNanos;
                            return true;
                        },
                        engine);
                RawClient client = fixture.client()) {
            assertThat(client.ask(request("POST", "/once/a", "id", "", "x")).status())
                    .isEqualTo(200);
        }
        assertThat(seen[0] - before).isPositive();
        assertThat(System.nanoTime() - seen[0]).isPositive();
    }
}
