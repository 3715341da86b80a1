package burlarch.fleet;

import burlarch.node.HangupSignal;
import burlarch.operator.CommandException;
import burlarch.settings.SettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Entry point of the fleet's command line: selects and runs the command, and maps its outcome to an exit code. */
public final class Main {
    /** Exit code: the command succeeded. */
    static final int EXIT_SUCCESS = 0;
    /** Exit code: the command could not start, or failed because of an internal error. */
    static final int EXIT_FAILURE = 1;
    /** Exit code: invalid arguments or settings. */
    static final int EXIT_INVALID_INPUT = 2;

    private static final int USAGE_WIDTH = 100;
    private static final String HELP = "--help";
    private static final String USAGE =
            """
            burlarch [--help] [--version] COMMAND
              router               runs a router, set up by the file that BURLARCH_NODE_FILE names
              controller           runs a controller, set up by the same
              rehearse             starts both on loopback and ends: loads what they need
              check-settings FILE  says what is wrong with a file of settings
              config get --control HOST:PORT[,HOST:PORT...]
                                   prints the newest configuration
              config put FILE --control HOST:PORT[,HOST:PORT...] [--if-match N]
                                   sends a whole one, built on version N or else on the one in place
              config patch FILE --control HOST:PORT[,HOST:PORT...] [--if-match N]
                                   sends a change of named items
              config validate FILE says what is wrong with a whole configuration; calls nobody
            Exit codes:
              0  it did what it was asked to
              1  it could not start, met a fault of its own, or got no clear answer
              2  wrong arguments, files or settings
              3  the configuration is refused as invalid
              4  the configuration is refused since another version is in place""";

    @Option(name = "--version", help = true)
    private boolean version;

    @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "router", impl = Commands.Router.class),
        @SubCommand(name = "controller", impl = Commands.Controller.class),
        @SubCommand(name = "rehearse", impl = Commands.ArchiveTraining.class),
        @SubCommand(name = "config", impl = Commands.Config.class),
        @SubCommand(name = "check-settings", impl = Commands.CheckSettings.class)
    })
    private Commands.Command command;

    private Main() {}

    public static void main(String[] arguments) {
        HangupSignal.install();
        // The validator logs through JBoss Logging; SLF4J routes it to tinylog like all other logs.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        int code = execute(arguments, System.out, System.err);
        if (code != EXIT_SUCCESS) {
            System.exit(code);
        }
    }

    /** Runs one command line and returns its exit code. Services that it started keep running on their own threads. */
    static int execute(String[] arguments, PrintStream output, PrintStream errors) {
        if (Arrays.asList(arguments).contains(HELP)) {
            output.println(USAGE);
            return EXIT_SUCCESS;
        }
        try {
            Optional<Commands.Command> service = serviceWithoutArguments(arguments);
            if (service.isPresent()) {
                service.get().run(output);
            } else {
                parse(arguments).run(output);
            }
            return EXIT_SUCCESS;
        } catch (CmdLineException e) {
            errors.println("burlarch: " + e.getMessage());
            errors.println(USAGE);
            return EXIT_INVALID_INPUT;
        } catch (SettingsException e) {
            e.getMessage().lines().forEach(line -> errors.println("burlarch: " + line));
            return EXIT_INVALID_INPUT;
        } catch (CommandException e) {
            e.getMessage().lines().forEach(line -> errors.println("burlarch: " + line));
            return e.exitCode();
        } catch (NoSuchFileException e) {
            errors.println("burlarch: no such file: " + e.getMessage());
            return EXIT_INVALID_INPUT;
        } catch (IOException e) {
            errors.println("burlarch: " + e.getMessage());
            return EXIT_FAILURE;
        } catch (Exception | LinkageError e) {
            errors.println("burlarch: this is a fault of the program:");
            e.printStackTrace(errors);
            return EXIT_FAILURE;
        }
    }

    /**
     * Returns the router or controller command if it is the only argument. These start without the parser, because
     * loading its classes and reading its annotations takes a tenth of a start, and a fleet starts hundreds of
     * processes.
     */
    private static Optional<Commands.Command> serviceWithoutArguments(String[] arguments) {
        if (arguments.length != 1) {
            return Optional.empty();
        }
        return switch (arguments[0]) {
            case "router" -> Optional.of(new Commands.Router());
            case "controller" -> Optional.of(new Commands.Controller());
            default -> Optional.empty();
        };
    }

    private static Main parse(String[] arguments) throws CmdLineException {
        Main main = new Main();
        new CmdLineParser(main, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH)).parseArgument(arguments);
        return main;
    }

    private void run(PrintStream output) throws Exception {
        if (version) {
            output.println("burlarch " + version());
        } else {
            command.run(output);
        }
    }

    private static String version() throws IOException {
        try (InputStream input = Main.class.getResourceAsStream("version.txt")) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8).strip();
        }
    }
}
