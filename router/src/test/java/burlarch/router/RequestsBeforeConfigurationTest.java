package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests that arrive before the router has its first configuration: they wait for it for a limited time. */
class RequestsBeforeConfigurationTest {
    @Test
    void requestBeforeTheFirstConfigurationWaitsForIt() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withoutConfiguration(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "id", "", "body"));
            fixture.applyFirstConfiguration();
            assertThat(client.readResponse().status()).isEqualTo(200);
            assertThat(engine.nextRequest().body()).isEqualTo(latin1("body"));
        }
    }

    @Test
    void requestIsRejectedIfNoConfigurationArrives() throws Exception {
        try (RouterFixture fixture = RouterFixture.withoutConfiguration();
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/once/a", "id", "", "body"));
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isNotNull();
        }
    }
}
