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

/** What the command line can be asked for. Public, as args4j makes them. */
public final class Commands {
    private Commands() {}

    /** One command with its arguments. */
    public interface Command {
        /** Does it; returns at once where it lives on by its own threads. */
        void run(PrintStream output) throws Exception;
    }

    /** {@code router} */
    public static final class Router implements Command {
        @Override
        public void run(PrintStream output) throws Exception {
            NodeSettings settings = NodeSettings.fromEnvironment();
            settings.requireServed(NodeSettings.SERVES_CLIENTS);
            RouterProgram.run(settings);
        }
    }

    /**
     * {@code controller}: a controller where the machine has a disk for its acceptor; elsewhere, a redirector to the
     * controllers, because a machine without a disk must not vote.
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

    /** {@code rehearse}: the training run of the class archive; exits the process. */
    public static final class ArchiveTraining implements Command {
        private static final long LONGEST_MILLIS = 60_000;

        @Override
        public void run(PrintStream output) throws Exception {
            Thread watch = new Thread(ArchiveTraining::haltLate, "watch");
            watch.setDaemon(true);
            watch.start();
            ArchiveTrainingRun.run();
            System.exit(Main.DONE);
        }

        /** A build must not hang. */
        private static void haltLate() {
            try {
                Thread.sleep(LONGEST_MILLIS);
                Runtime.getRuntime().halt(Main.FAILED);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** {@code config get|put|patch|validate} */
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

    /** {@code check-settings FILE} */
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
