package burlarch.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.lab.experiment.Bar;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A difference counts only where the repeats do not overlap. */
class CompareTest {
    @TempDir
    Path folder;

    private Path runs(String name, double... p99) throws IOException {
        Path of = folder.resolve(name);
        for (int i = 0; i < p99.length; i++) {
            Path run = Files.createDirectories(of.resolve("run-" + i));
            Files.writeString(
                    run.resolve("summary.json"),
                    "{\"experiment\":\"x\",\"load\":{\"figures\":{\"p99_ms\":1}}," + "\"figures\":{\"p99_ms\":" + p99[i]
                            + ",\"served\":0.5},\"bars\":[]}");
        }
        return of;
    }

    private static Compare.Line p99(Path before, Path after) throws IOException {
        return Compare.of(before, after).stream()
                .filter(line -> line.figure().equals("p99_ms"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void rangesThatOverlapShowNothingAndOthersDiffer() throws IOException {
        Path before = runs("before", 100, 110, 120);
        Compare.Line overlaps = p99(before, runs("overlaps", 119, 150, 160));
        assertTrue(overlaps.withinSpread());
        assertEquals(1.3, overlaps.ratio(), 1e-9);
        assertTrue(overlaps.toString().endsWith("within the spread"));
        assertFalse(p99(before, runs("apart", 121, 150)).withinSpread());
        assertTrue(p99(before, runs("one", 500)).toString().endsWith("too few repeats to tell"));
    }

    @Test
    void whatIsNoFolderOfRunsIsNamed() throws IOException {
        Path before = runs("before", 1, 2);
        assertThrows(IOException.class, () -> Compare.of(before, folder.resolve("nothing")));
        Path broken = Files.createDirectories(folder.resolve("broken"));
        Files.writeString(broken.resolve("summary.json"), "{\"figures\":{\"p99_ms\":");
        assertTrue(assertThrows(IOException.class, () -> Compare.of(before, broken))
                .getMessage()
                .contains("summary.json: not a summary"));
    }

    @Test
    void barsAreReadAndWhatIsNoneIsRefused() {
        assertEquals(new Bar("p99_ms", true, 300), Bar.parse("p99_ms < 300"));
        assertEquals(new Bar("account-read.served", false, 0.5), Bar.parse(" account-read.served>0.5 "));
        for (String wrong : new String[] {"p99_ms", "p99_ms = 3", "p99_ms < many", "< 3"}) {
            assertThrows(IllegalArgumentException.class, () -> Bar.parse(wrong), wrong);
        }
    }
}
