package burlarch.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.ServerLoad;
import org.junit.jupiter.api.Test;

/** Parsing of placement hints. */
class HintHeadersTest {
    @Test
    void malformedHintsAreTreatedAsAbsent() {
        assertThat(HintHeaders.tokenUsage("1460,80")).containsExactly(1460, 80);
        assertThat(HintHeaders.tokenUsage("1460, 80")).containsExactly(1460, 80);
        assertThat(HintHeaders.tokenUsage("1460")).containsExactly(0, 0);
        assertThat(HintHeaders.tokenUsage("-1,2")).containsExactly(0, 0);
        assertThat(HintHeaders.tokenUsage(null)).containsExactly(0, 0);
        assertThat(HintHeaders.promptSegments("5c1e07a2:800,e4402b7d00000001:1"))
                .containsExactly(new PromptSegment(0x5c1e07a2L, 800), new PromptSegment(0xe4402b7d00000001L, 1));
        assertThat(HintHeaders.promptSegments("5c:8,")).isEmpty();
        assertThat(HintHeaders.promptSegments("xyz:8")).isEmpty();
        assertThat(HintHeaders.serverLoad("3,0,8")).isEqualTo(new ServerLoad(3, 0, 8));
        assertThat(HintHeaders.serverLoad("3,0")).isNull();
        assertThat(HintHeaders.serverLoad("a,b,c")).isNull();
    }
}
