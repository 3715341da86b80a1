package burlarch.router;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.ServerLoad;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Reading of single headers. */
class HeadersTest {
    @Test
    void hints() {
        assertThat(HintHeaders.tokenUsage("1460,80")).containsExactly(1460, 80);
        assertThat(HintHeaders.tokenUsage("1460, 80")).containsExactly(1460, 80);
        assertThat(HintHeaders.tokenUsage("1460")).containsExactly(0, 0);
        assertThat(HintHeaders.tokenUsage("-1,2")).containsExactly(0, 0);
        assertThat(HintHeaders.tokenUsage(null)).containsExactly(0, 0);
        assertThat(HintHeaders.parts("5c1e07a2:800,e4402b7d00000001:1"))
                .containsExactly(new PromptPart(0x5c1e07a2L, 800), new PromptPart(0xe4402b7d00000001L, 1));
        assertThat(HintHeaders.parts("5c:8,")).isEmpty();
        assertThat(HintHeaders.parts("xyz:8")).isEmpty();
        assertThat(HintHeaders.load("3,0,8")).isEqualTo(new ServerLoad(3, 0, 8));
        assertThat(HintHeaders.load("3,0")).isNull();
        assertThat(HintHeaders.load("a,b,c")).isNull();
    }

    @Test
    void numbers() {
        assertThat(Headers.number("0", 5)).isZero();
        assertThat(Headers.number("8000", 5)).isEqualTo(8000);
        assertThat(Headers.number("", 5)).isEqualTo(5);
        assertThat(Headers.number("1.5", 5)).isEqualTo(5);
        assertThat(Headers.number("99999999999999999999", 5)).isEqualTo(5);
    }

    @Test
    void restOfConnections() {
        assertThat(KeepAliveTimeout.of(HttpFields.build().add("Keep-Alive", "timeout=5, max=9"))
                        .restMillis())
                .isEqualTo(4000);
        assertThat(KeepAliveTimeout.of(HttpFields.build().add("Keep-Alive", "timeout=1"))
                        .restMillis())
                .isEqualTo(500);
        assertThat(KeepAliveTimeout.of(HttpFields.build()).restMillis()).isBetween(1L, 999L);
        assertThat(KeepAliveTimeout.of(
                                HttpFields.build().add("Connection", "Close").add("Keep-Alive", "timeout=5"))
                        .reusable())
                .isFalse();
    }
}
