package burlarch.emulator.demo;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Command line of the emulator, with the commands {@code fleet-demo}, {@code fleet-bench} and {@code soak}. */
public final class Main {
    static final int PASSED = 0;
    static final int FAILED = 1;
    static final int COULD_NOT_RUN = 2;

    private static final String USAGE =
            """
            burlarch fleet-demo [--seconds N] [--jar FILE] [--logs FOLDER]
              Starts 3 controllers and 2 routers as processes of their own, and in this process engines, a
              store, plain instances, an operator and clients, all on loopback. While traffic runs it changes
              the configuration, replaces an engine, kills a controller and announces new weights.
              --seconds N    of traffic, 15 or more (default 15)
              --jar FILE     the fleet's program (default target/burlarch.jar)
              --logs FOLDER  for the logs of the programs (default: a folder that is deleted after the demo)
            burlarch fleet-bench [--seconds N] [--home FOLDER]
              Starts 3 controllers and a router as the deployment does, and in this process an engine and
              clients, and measures: CPU until ready, CPU while idle, what the router adds to the age of
              stream events at half a core, memory with 300 open streams.
              --seconds N    of each measurement, 5 or more (default 10)
              --home FOLDER  with deploy/system.toml and the build (default: the working directory)
            burlarch soak [--seed N] [--seconds N] [--routers N] [--home FOLDER] [--record FILE] [--logs FOLDER]
              Starts 3 controllers and some routers as the deployment does, and in this process instances and
              clients that use their connections until the processes are gone. A plan that is drawn by the seed
              terminates, kills, pauses and restarts processes, changes the configuration and the weights, and
              replaces instances whose heartbeats arrive late. Names each violation of a rule, with its request.
              --seed N       of the plan (default 1)
              --seconds N    in which steps begin, 5 to 3600 (default 30); about 20 s more in all
              --routers N    1 to 60 (default 3)
              --home FOLDER  with deploy/system.toml and the build (default: the working directory)
              --record FILE  for the steps, the violations and the counts, as JSON lines
              --logs FOLDER  for the logs of the programs (default: a folder that is deleted afterwards)
            Exit codes:
              0  all requirements or goals are met
              1  a requirement or a goal is missed
              2  the command could not run""";

    @Option(name = "--help", help = true)
    private boolean help;

    @Option(name = "--version", help = true)
    private boolean version;

    @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "fleet-demo", impl = DemoOptions.class),
        @SubCommand(name = "fleet-bench", impl = BenchOptions.class),
        @SubCommand(name = "soak", impl = SoakOptions.class)
    })
    private Command options;

    private Main() {}

    /** Runs a command and ends the process. */
    public static void main(String[] arguments) {
        System.exit(execute(arguments, System.out, System.err));
    }

    static int execute(String[] arguments, PrintStream output, PrintStream errors) {
        configureHttp();
        Main main = new Main();
        try {
            new CmdLineParser(main, ParserProperties.defaults()).parseArgument(arguments);
        } catch (CmdLineException e) {
            errors.println("burlarch: " + e.getMessage());
            errors.println(USAGE);
            return COULD_NOT_RUN;
        }
        if (main.help || main.options != null && main.options.help()) {
            output.println(USAGE);
            return PASSED;
        }
        if (main.version) {
            output.println("burlarch " + Main.class.getPackage().getImplementationVersion());
            return PASSED;
        }
        try {
            return main.options.run(output) ? PASSED : FAILED;
        } catch (Exception e) {
            errors.println("burlarch: " + e);
            return COULD_NOT_RUN;
        }
    }

    /** Must be called before the first use of the HTTP client and server, which read these properties once. */
    static void configureHttp() {
        // Clients set the Host header, and the HTTP client must not retry a request on its own.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    /** A command with its options. */
    interface Command {
        boolean help();

        /** Runs the command; returns whether all requirements are met. */
        boolean run(PrintStream output) throws Exception;
    }

    /** Options of the bench. Public because args4j creates it. */
    public static final class BenchOptions implements Command {
        private static final int MIN_SECONDS = 5;

        @Option(name = "--help", help = true)
        private boolean help;

        @Option(name = "--seconds")
        private int seconds = 10;

        @Option(name = "--home")
        private Path home = Path.of("");

        @Override
        public boolean help() {
            return help;
        }

        @Override
        public boolean run(PrintStream output) throws Exception {
            return new FleetBench(home.toAbsolutePath(), Math.max(MIN_SECONDS, seconds), output).run();
        }
    }

    /** Options of the soak. Public because args4j creates it. */
    public static final class SoakOptions implements Command {
        private static final int MIN_SECONDS = 5;
        private static final int MAX_SECONDS = 3600;
        private static final int MAX_ROUTERS = 60;

        @Option(name = "--help", help = true)
        private boolean help;

        @Option(name = "--seed")
        private long seed = 1;

        @Option(name = "--seconds")
        private int seconds = 30;

        @Option(name = "--routers")
        private int routers = 3;

        @Option(name = "--home")
        private Path home = Path.of("");

        @Option(name = "--record")
        private Path record;

        @Option(name = "--logs")
        private Path logs;

        @Override
        public boolean help() {
            return help;
        }

        @Override
        public boolean run(PrintStream output) throws Exception {
            if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
                throw new IllegalArgumentException("--seconds must be from 5 to 3600");
            }
            if (routers < 1 || routers > MAX_ROUTERS) {
                throw new IllegalArgumentException("--routers must be from 1 to 60");
            }
            return new Soak(this, output).run();
        }

        long seed() {
            return seed;
        }

        int seconds() {
            return seconds;
        }

        int routers() {
            return routers;
        }

        Path home() {
            return home;
        }

        Path record() {
            return record;
        }

        Path logs() {
            return logs;
        }
    }

    /** Options of the demo. Public because args4j creates it. */
    public static final class DemoOptions implements Command {
        private static final int MIN_SECONDS = 15;

        @Option(name = "--help", help = true)
        private boolean help;

        @Option(name = "--seconds")
        private int seconds = MIN_SECONDS;

        @Option(name = "--jar")
        private Path jar = Path.of("target", "burlarch.jar");

        @Option(name = "--logs")
        private Path logs;

        @Override
        public boolean help() {
            return help;
        }

        @Override
        public boolean run(PrintStream output) throws Exception {
            return new FleetDemo(this, output).run();
        }

        int seconds() {
            return Math.max(MIN_SECONDS, seconds);
        }

        Path jar() {
            return jar;
        }

        Path logs() {
            return logs;
        }
    }
}
