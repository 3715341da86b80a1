package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that each missed requirement fails the report, and the checks of the request log and of streams. */
class DemoReportTest {
    private static DemoReport passingReport() {
        return new DemoReport()
                .requests(100, 95, 3, 5)
                .requireZero("twice", 0)
                .versions("weights", Map.of("i-1", 2L), 2)
                .step("drain", true);
    }

    @Test
    void passesIfAllRequirementsAreMet() {
        assertThat(passingReport().passes()).isTrue();
        assertThat(passingReport().table()).endsWith("verdict: good").doesNotContain("BAD");
    }

    @Test
    void failsIfAnyRequirementIsMissed() {
        assertThat(passingReport().requests(100, 94, 0, 6).passes()).isFalse();
        assertThat(passingReport().requests(0, 0, 0, 0).passes()).isFalse();
        assertThat(passingReport().requireZero("twice", 1).passes()).isFalse();
        assertThat(passingReport()
                        .versions("configuration", Map.of("router", 4L), 9)
                        .passes())
                .isFalse();
        assertThat(passingReport().step("drain", false).table())
                .contains("BAD  drain")
                .endsWith("verdict: BAD");
    }

    @Test
    void logCountsDuplicateExecutionsAndFalseReports() {
        RequestLog log = new RequestLog();
        log.requireAtMostOnce("once");
        log.requireAtMostOnce("twice");
        log.requireAtMostOnce("promised");
        log.onReportedUnexecuted("promised");
        for (String id : new String[] {"once", "twice", "twice", "promised", "free", "free"}) {
            log.onExecuted(id, "i-1");
        }
        log.onRequestAfterDrain("once", "i-1");
        assertThat(log.duplicateExecutions()).isEqualTo(1);
        assertThat(log.executedAfterReport()).isEqualTo(1);
        assertThat(log.requestsAfterDrain()).isEqualTo(1);
    }

    @Test
    void streamIsCompleteOnlyWithAllEventsInOrder() {
        assertThat(isCompleteStream("id: 1", "data: a", "", "id: 2", "data: b end", ""))
                .isTrue();
        assertThat(isCompleteStream("id: 1", "data: a", "", "id: 3", "data: b end", ""))
                .isFalse();
        assertThat(isCompleteStream("id: 1", "data: a", "", "id: 1", "data: b end", ""))
                .isFalse();
        assertThat(isCompleteStream("id: 1", "data: a", "")).isFalse();
        assertThat(isCompleteStream("id: 2", "data: b end", "")).isFalse();
    }

    private static boolean isCompleteStream(String... lines) {
        StreamVerifier verifier = new StreamVerifier();
        for (String line : lines) {
            verifier.onNext(line);
        }
        verifier.onComplete();
        return verifier.isComplete();
    }
}
