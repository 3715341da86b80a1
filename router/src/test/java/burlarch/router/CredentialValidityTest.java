package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** A router that cannot confirm that no API key was revoked rejects requests that need a key. */
class CredentialValidityTest {
    @Test
    void requestsThatNeedAKeyAreRejectedUntilKeysMayBeAcceptedAgain() throws Exception {
        AtomicBoolean acceptsKeys = new AtomicBoolean();
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withCredentials(receivedNanos -> acceptsKeys.get(), engine);
                RawClient client = fixture.client()) {
            RawClient.Response rejected = client.exchange(request("POST", "/idem/a", "first", "", "x"));
            assertThat(rejected.status()).isEqualTo(503);
            assertThat(rejected.header("Retry-After")).isNotNull();
            assertThat(engine.requests()).isZero();

            acceptsKeys.set(true);
            assertThat(client.exchange(request("POST", "/idem/a", "second", "", "x"))
                            .status())
                    .isEqualTo(200);
        }
    }

    @Test
    void validityIsCheckedForTheTimeOfReceipt() throws Exception {
        long[] checkedNanos = new long[1];
        long startNanos = System.nanoTime();
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withCredentials(
                        receivedNanos -> {
                            checkedNanos[0] = receivedNanos;
                            return true;
                        },
                        engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", "/once/a", "id", "", "x"))
                            .status())
                    .isEqualTo(200);
        }
        assertThat(checkedNanos[0] - startNanos).isPositive();
        assertThat(System.nanoTime() - checkedNanos[0]).isPositive();
    }
}
