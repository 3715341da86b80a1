package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A router without a configuration, for example after a restart during a network partition, cannot check requests: it
 * responds 503 and never rejects a request because of its route, key or size.
 */
class BeforeConfigurationTest {
    private static final int LARGE_HEAD_BYTES = 12_000;

    private static RawClient.Response exchange(String text) throws Exception {
        try (RouterFixture fixture = RouterFixture.withoutConfiguration();
                RawClient client = fixture.client()) {
            return client.exchange(text);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/idem/a", "/nowhere/a", "/"})
    void anyRequestGets503(String path) throws Exception {
        RawClient.Response response = exchange(request("GET", path, "id", "", ""));
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.header("X-Request-Id")).isEqualTo("id");
        assertThat(response.header("Retry-After")).isNotNull();
    }

    @Test
    void requestWithoutKeyGets503() throws Exception {
        RawClient.Response response = exchange("GET /idem/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\n\r\n");
        assertThat(response.status()).isEqualTo(503);
    }

    @Test
    void largeHeadGets503() throws Exception {
        RawClient.Response response = exchange(
                request("GET", "/idem/a", "id", "X-Prefix-Hash: " + "a".repeat(LARGE_HEAD_BYTES) + "\r\n", ""));
        assertThat(response.status()).isEqualTo(503);
    }

    @Test
    void largeBodyGets503() throws Exception {
        RawClient.Response response =
                exchange(request("POST", "/idem/a", "id", "", "b".repeat(RouterFixture.MAX_BODY_BYTES + 1)));
        assertThat(response.status()).isEqualTo(503);
    }
}
