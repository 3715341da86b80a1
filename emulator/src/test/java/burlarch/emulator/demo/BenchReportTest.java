package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that a missed bound fails the report, and that process statistics are parsed correctly. */
class BenchReportTest {
    @Test
    void passesOnlyIfAllValuesAreBelowTheirBounds() {
        BenchReport report = new BenchReport().goal("cpu", 1.49, "s", 1.5).value("time", 99, "s");
        assertThat(report.passes()).isTrue();
        assertThat(report.format()).contains("1.49", "< 1.5").doesNotContain("MISS");
        assertThat(report.goal("idle", 2, "%", 2).passes()).isFalse();
        assertThat(report.format()).contains("MISS idle").endsWith("a goal is MISSED");
    }

    @Test
    void cpuTimeIsParsedAfterAProcessNameOfAnyCharacters() {
        String stat = "7 (a) b (c) S 1 7 7 0 -1 4194560 900 0 0 0 120 34 0 0 20 0 12 0 1 1 1";
        assertThat(ProcessStatistics.cpuNanos(stat)).isEqualTo(1_540_000_000L);
    }

    @Test
    void peakMemoryIsParsedInMegabytes() {
        assertThat(ProcessStatistics.peakMegabytes("VmPeak:\t 9 kB\nVmHWM:\t  1000 kB\nVmRSS:\t 5 kB\n"))
                .isEqualTo(1.024);
    }
}
