package burlarch.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Derivation of the idle timeout from response headers. */
class KeepAliveTimeoutTest {
    @Test
    void idleTimeoutFollowsTheResponseHeaders() {
        assertThat(KeepAliveTimeout.parse(HttpFields.build().add("Keep-Alive", "timeout=5, max=9"))
                        .idleMillis())
                .isEqualTo(4000);
        assertThat(KeepAliveTimeout.parse(HttpFields.build().add("Keep-Alive", "timeout=1"))
                        .idleMillis())
                .isEqualTo(500);
        assertThat(KeepAliveTimeout.parse(HttpFields.build()).idleMillis()).isBetween(1L, 999L);
        assertThat(KeepAliveTimeout.parse(
                                HttpFields.build().add("Connection", "Close").add("Keep-Alive", "timeout=5"))
                        .isReusable())
                .isFalse();
    }
}
