package burlarch.cli;

import burlarch.lab.experiment.Experiment;
import burlarch.lab.experiment.ExperimentPlan;
import burlarch.lab.experiment.ExperimentResult;
import burlarch.lab.report.Report;
import burlarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that runs an experiment and writes its report. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a fleet, proxies as real processes and a load, injects the faults that the file names,",
            "and writes records, figures and a report. Ready experiments are in experiments/."
        })
final class ExperimentCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The experiment, as docs/lab.md says.")
    private Path file;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            required = true,
            description = "The folder to make; each repeat gets a folder in it.")
    private Path folder;

    @Option(names = "--repeats", paramLabel = "N", defaultValue = "1", description = "1 to 100; 1 by default.")
    private int repeats;

    @Option(names = "--quiet", description = "Print the result only.")
    private boolean quiet;

    @Override
    public Integer call() throws IOException, InterruptedException, SettingsException {
        if (repeats < 1 || repeats > 100) {
            throw new IllegalArgumentException("--repeats must be from 1 to 100");
        }
        return run(file, folder, repeats, quiet);
    }

    static int run(Path file, Path folder, int repeats, boolean quiet)
            throws IOException, InterruptedException, SettingsException {
        ExperimentPlan plan = ExperimentPlan.read(file);
        Path jar = Main.proxyJar();
        if (!plan.proxies().directToNode() && !Files.exists(jar)) {
            throw new IOException(jar + ": the proxy is not built yet: run 'mvn -q -DskipTests package'");
        }
        int status = 0;
        for (int i = 1; i <= repeats; i++) {
            Path runFolder = repeats == 1 ? folder : folder.resolve("run-" + i);
            ExperimentResult result = Experiment.run(plan, runFolder, jar, quiet ? line -> {} : System.err::println);
            Report.write(result, runFolder);
            System.out.print(Report.textSummary(result));
            System.out.println("  report " + runFolder.resolve("report.html"));
            status = Math.max(status, result.status());
        }
        return status;
    }
}
