package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Headers that describe a prompt are forwarded to the instance unchanged, even if they are malformed. */
class PromptHeadersTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Model: m",
                "x-model: m",
                "X-Model: m, n",
                "X-Model: M\u00e4",
                "X-Model: ",
                "X-Token-Usage: 10,5",
                "X-Token-Usage: 10, 5",
                "X-Token-Usage: +10,05",
                "X-Token-Usage: none",
                "X-Prefix-Hash: a:1,b:2",
                "X-Prefix-Hash: A:01 , b:2",
                "X-Prefix-Hash: ,",
                "X-PREFIX-HASH: zz:1"
            })
    void headerLineIsForwardedUnchanged(String line) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", "/idem/a", "id", line + "\r\n", "x"))
                            .status())
                    .isEqualTo(200);
            assertThat(engine.nextRequest().head()).containsOnlyOnce("\r\n" + line + "\r\n");
        }
    }
}
