package burlarch.fleet;

import burlarch.controller.ControllerProgram;
import burlarch.controller.redirect.ControlRedirectorProgram;
import burlarch.fleet.training.ArchiveTrainingRun;
import burlarch.node.NodeSettings;
import burlarch.operator.ConfigCommand;
import burlarch.router.RouterProgram;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The commands of the command line. They are public because args4j instantiates them. */
public final class Commands {
    private Commands() {}

    /** One command with its arguments. */
    public interface Command {
        /**
         * Executes the command. A command that starts a service returns at once; the service keeps running on its own
         * threads.
         *
         * @param output where the command prints its result
         */
        void run(PrintStream output) throws Exception;
    }

    /** {@code router}: runs a router. */
    public static final class Router implements Command {
        @Override
        public void run(PrintStream output) throws Exception {
            NodeSettings settings = NodeSettings.fromEnvironment();
            settings.requireServed(NodeSettings.SERVES_CLIENTS);
            RouterProgram.run(settings);
        }
    }

    /**
     * {@code controller}: runs a controller if the settings name a data folder for its acceptor. Otherwise runs a
     * redirector to the controllers, because a machine without a disk must not vote.
     */
    public static final class Controller implements Command {
        @Override
        public void run(PrintStream output) throws Exception {
            NodeSettings settings = NodeSettings.fromEnvironment();
            settings.requireServed(NodeSettings.SERVES_CONTROL);
            if (settings.dataDir() == null) {
                ControlRedirectorProgram.run(settings);
            } else {
                ControllerProgram.run(settings);
            }
        }
    }

    /** {@code rehearse}: performs the training run of the class-data archive and exits the process. */
    public static final class ArchiveTraining implements Command {
        private static final long TIMEOUT_MILLIS = 60_000;

        @Override
        public void run(PrintStream output) throws Exception {
            Thread watchdog = new Thread(ArchiveTraining::haltAfterTimeout, "watch");
            watchdog.setDaemon(true);
            watchdog.start();
            ArchiveTrainingRun.run();
            System.exit(Main.EXIT_SUCCESS);
        }

        /** Halts the process after the timeout, so that a build does not hang. */
        private static void haltAfterTimeout() {
            try {
                Thread.sleep(TIMEOUT_MILLIS);
                Runtime.getRuntime().halt(Main.EXIT_FAILURE);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** {@code config get|put|patch|validate}: reads, changes or validates a configuration. */
    public static final class Config implements Command {
        @Argument(metaVar = "get|put|patch|validate", required = true, handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "get", impl = ConfigCommand.Get.class),
            @SubCommand(name = "put", impl = ConfigCommand.Put.class),
            @SubCommand(name = "patch", impl = ConfigCommand.Patch.class),
            @SubCommand(name = "validate", impl = ConfigCommand.Validate.class)
        })
        private ConfigCommand.Action action;

        @Override
        public void run(PrintStream output) throws Exception {
            action.run(output);
        }
    }

    /** {@code check-settings FILE}: validates a settings file. */
    public static final class CheckSettings implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "a file of settings")
        private Path file;

        @Override
        public void run(PrintStream output) throws Exception {
            NodeSettings settings = NodeSettings.load(file);
            output.println(file + ": proper settings of " + settings.nodeName());
        }
    }
}
