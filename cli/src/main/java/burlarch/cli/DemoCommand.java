package burlarch.cli;

import burlarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command that runs the demo experiment. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Twenty seconds of proxies, nodes, load and faults, with the summary on the terminal.")
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--out", paramLabel = "FOLDER", description = "Keep records and report there.")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException, SettingsException {
        Path outputFolder = folder != null ? folder : Files.createTempDirectory("burlarch-demo");
        return ExperimentCommand.run(Main.home().resolve(Path.of("experiments", "demo.toml")), outputFolder, 1, false);
    }
}
