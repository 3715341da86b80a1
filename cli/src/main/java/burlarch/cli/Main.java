package burlarch.cli;

import burlarch.proxy.ProxyMain;
import burlarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Unmatched;

/** The command line. What a command does is its own class's; this says what there is and how things end. */
@Command(
        name = "burlarch",
        version = "burlarch 0.2.0",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "A caching proxy between cache nodes and a slow origin, and the lab to judge it.",
        subcommands = {
            Main.Serve.class,
            Main.Rehearse.class,
            Main.Drill.class,
            Main.HotListCommand.class,
            Main.TlsReload.class,
            FleetCommand.class,
            LoadCommand.class,
            TraceCommand.class,
            ExperimentCommand.class,
            CompareCommand.class,
            DemoCommand.class,
            AuditCommand.class,
            NullServerCommand.class,
            AutoComplete.GenerateCompletion.class,
            CommandLine.HelpCommand.class
        },
        footerHeading = "%nExit codes:%n",
        footer = {
            "  0  it did what it was asked to, and every rule and bar held",
            "  1  a rule or a bar was broken, or a run proves nothing; serve: it could not start",
            "  2  it could not run: wrong arguments, files or addresses",
            "",
            "Commands of the router fleet, each with --help:",
            "  router, controller, check-settings, config, fleet-demo"
        })
public final class Main {
    /** How a command ends that could not run. */
    static final int COULD_NOT_RUN = CommandLine.ExitCode.USAGE;

    private Main() {}

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof IOException || e instanceof SettingsException || e instanceof IllegalArgumentException) {
                command.getErr().println("burlarch: " + e.getMessage());
            } else {
                command.getErr().println("burlarch: this is a fault of the program:");
                e.printStackTrace(command.getErr());
            }
            return COULD_NOT_RUN;
        });
        return line;
    }

    /** Where the checkout is, for the proxy's jar and the shelf of experiments. */
    static Path home() {
        return Path.of(System.getProperty("burlarch.home", "."));
    }

    static Path proxyJar() {
        return home().resolve(Path.of("proxy", "target", "burlarch.jar")).toAbsolutePath();
    }

    /** A command of the proxy's own, which reads its arguments itself: its jar has no library for that. */
    abstract static class OfTheProxy implements Runnable {
        @Unmatched
        private List<String> arguments;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            List<String> words = new java.util.ArrayList<>(List.of(spec.name()));
            if (arguments != null) {
                words.addAll(arguments);
            }
            try {
                ProxyMain.main(words.toArray(String[]::new));
                Thread.currentThread().join(spec.name().equals("serve") ? 0 : 1);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Command(name = "serve", description = "Runs one proxy: [--hot-list] [--config FILE], set up by EDGE_CONFIG.")
    static final class Serve extends OfTheProxy {}

    @Command(name = "rehearse", description = "Starts one proxy on loopback and ends: loads what serve needs.")
    static final class Rehearse extends OfTheProxy {}

    @Command(name = "drill", description = "Reads the simulator's events on standard input, writes actions.")
    static final class Drill extends OfTheProxy {}

    @Command(name = "hot-list", description = "Has a proxy write its hot list: --pid PID.")
    static final class HotListCommand extends OfTheProxy {}

    @Command(name = "tls-reload", description = "Has a proxy read its certificates again: --pid PID.")
    static final class TlsReload extends OfTheProxy {}
}
