package burlarch.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.lab.experiment.Threshold;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Comparison of runs reports a difference only if the ranges of the repeats do not overlap; thresholds are parsed
 * strictly.
 */
class RunComparisonTest {
    @TempDir
    Path folder;

    private Path writeRuns(String name, double... p99) throws IOException {
        Path parent = folder.resolve(name);
        for (int i = 0; i < p99.length; i++) {
            Path run = Files.createDirectories(parent.resolve("run-" + i));
            Files.writeString(
                    run.resolve("summary.json"),
                    "{\"experiment\":\"x\",\"load\":{\"figures\":{\"p99_ms\":1}}," + "\"figures\":{\"p99_ms\":" + p99[i]
                            + ",\"served\":0.5},\"bars\":[]}");
        }
        return parent;
    }

    private static RunComparison.FigureComparison p99(Path before, Path after) throws IOException {
        return RunComparison.of(before, after).stream()
                .filter(comparison -> comparison.figure().equals("p99_ms"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void differenceIsShownOnlyWhenRangesDoNotOverlap() throws IOException {
        Path before = writeRuns("before", 100, 110, 120);
        RunComparison.FigureComparison overlaps = p99(before, writeRuns("overlaps", 119, 150, 160));
        assertTrue(overlaps.withinSpread());
        assertEquals(1.3, overlaps.ratio(), 1e-9);
        assertTrue(overlaps.toString().endsWith("within the spread"));
        assertFalse(p99(before, writeRuns("apart", 121, 150)).withinSpread());
        assertTrue(p99(before, writeRuns("one", 500)).toString().endsWith("too few repeats to tell"));
    }

    @Test
    void missingFolderAndBrokenSummaryAreRejected() throws IOException {
        Path before = writeRuns("before", 1, 2);
        assertThrows(IOException.class, () -> RunComparison.of(before, folder.resolve("nothing")));
        Path broken = Files.createDirectories(folder.resolve("broken"));
        Files.writeString(broken.resolve("summary.json"), "{\"figures\":{\"p99_ms\":");
        assertTrue(assertThrows(IOException.class, () -> RunComparison.of(before, broken))
                .getMessage()
                .contains("summary.json: not a summary"));
    }

    @Test
    void thresholdIsParsedAndInvalidTextIsRejected() {
        assertEquals(new Threshold("p99_ms", true, 300), Threshold.parse("p99_ms < 300"));
        assertEquals(new Threshold("account-read.served", false, 0.5), Threshold.parse(" account-read.served>0.5 "));
        for (String invalidText : new String[] {"p99_ms", "p99_ms = 3", "p99_ms < many", "< 3"}) {
            assertThrows(IllegalArgumentException.class, () -> Threshold.parse(invalidText), invalidText);
        }
    }
}
