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

/**
 * Entry point of the command line: it declares the commands and maps errors to exit codes. Each command has a
 * class of its own.
 */
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
    /** Exit code of a command that could not run. */
    static final int COULD_NOT_RUN = CommandLine.ExitCode.USAGE;

    private Main() {}

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((exception, command, parseResult) -> {
            if (exception instanceof IOException
                    || exception instanceof SettingsException
                    || exception instanceof IllegalArgumentException) {
                command.getErr().println("burlarch: " + exception.getMessage());
            } else {
                command.getErr().println("burlarch: this is a fault of the program:");
                exception.printStackTrace(command.getErr());
            }
            return COULD_NOT_RUN;
        });
        return commandLine;
    }

    /** Root of the checkout, which holds the proxy's jar and the experiments. */
    static Path home() {
        return Path.of(System.getProperty("burlarch.home", "."));
    }

    static Path proxyJar() {
        return home().resolve(Path.of("proxy", "target", "burlarch.jar")).toAbsolutePath();
    }

    /**
     * A command implemented by the proxy's own main class, which parses its arguments without a library.
     * {@code serve} blocks until it is interrupted.
     */
    abstract static class ProxyCommand implements Runnable {
        @Unmatched
        private List<String> arguments;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public void run() {
            List<String> proxyArguments = new java.util.ArrayList<>(List.of(spec.name()));
            if (arguments != null) {
                proxyArguments.addAll(arguments);
            }
            try {
                ProxyMain.main(proxyArguments.toArray(String[]::new));
                Thread.currentThread().join(spec.name().equals("serve") ? 0 : 1);
            } catch (IOException exception) {
                throw new java.io.UncheckedIOException(exception);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Command(name = "serve", description = "Runs one proxy: [--hot-list] [--config FILE], set up by EDGE_CONFIG.")
    static final class Serve extends ProxyCommand {}

    @Command(name = "rehearse", description = "Starts one proxy on loopback and ends: loads what serve needs.")
    static final class Rehearse extends ProxyCommand {}

    @Command(name = "drill", description = "Reads the simulator's events on standard input, writes actions.")
    static final class Drill extends ProxyCommand {}

    @Command(name = "hot-list", description = "Has a proxy write its hot list: --pid PID.")
    static final class HotListCommand extends ProxyCommand {}

    @Command(name = "tls-reload", description = "Has a proxy read its certificates again: --pid PID.")
    static final class TlsReload extends ProxyCommand {}
}
