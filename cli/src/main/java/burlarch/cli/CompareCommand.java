package burlarch.cli;

import burlarch.lab.report.RunComparison;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Command that compares the repeats of two experiments. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = {
            "Compares two folders of repeats: the ratio of each figure, and whether the difference is",
            "more than the repeats differ among themselves."
        })
final class CompareCommand implements Callable<Integer> {
    @Parameters(paramLabel = "BEFORE")
    private Path before;

    @Parameters(paramLabel = "AFTER")
    private Path after;

    @Override
    public Integer call() throws IOException {
        for (RunComparison.FigureComparison comparison : RunComparison.of(before, after)) {
            System.out.println(comparison);
        }
        return 0;
    }
}
