package burlarch.operator;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The command {@code config} with its sub-commands get, put, patch and validate. They are public because args4j
 * creates them.
 */
public final class ConfigCommand {
    private static final String PATH = "/burlarch/config";
    private static final int NOT_FOUND = 404;

    private ConfigCommand() {}

    /** A sub-command. */
    public interface Action {
        /** Runs the sub-command. */
        void run(PrintStream output) throws Exception;
    }

    /** {@code get}: prints the newest configuration. */
    public static final class Get implements Action {
        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String control;

        @Override
        public void run(PrintStream output) throws Exception {
            ControlClient.Response answer = read(client(control));
            output.write(answer.body());
            output.println();
        }
    }

    /** {@code put}: sends a complete configuration. */
    public static final class Put implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String control;

        @Option(name = "--if-match", metaVar = "N")
        private Long ifMatch;

        @Override
        public void run(PrintStream output) throws Exception {
            byte[] json = Files.readAllBytes(file);
            long version = valid(json).version();
            send("PUT", client(control), json, ifMatch);
            output.println("configuration " + version + " is acknowledged");
        }
    }

    /** {@code patch}: sends a change of named items. */
    public static final class Patch implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String control;

        @Option(name = "--if-match", metaVar = "N")
        private Long ifMatch;

        @Override
        public void run(PrintStream output) throws Exception {
            byte[] json = Files.readAllBytes(file);
            long version;
            try {
                version = ConfigurationPatch.parse(json).version();
            } catch (InvalidConfigurationException invalid) {
                throw RejectionMessages.toFailure(invalid);
            }
            send("PATCH", client(control), json, ifMatch);
            output.println("configuration " + version + " is acknowledged");
        }
    }

    /** {@code validate}: checks a complete configuration locally, without a controller. */
    public static final class Validate implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Override
        public void run(PrintStream output) throws Exception {
            output.println(file + ": valid configuration "
                    + valid(Files.readAllBytes(file)).version());
        }
    }

    private static ConfigurationDocument valid(byte[] json) throws CommandFailure {
        try {
            return ConfigurationDocument.parse(json);
        } catch (InvalidConfigurationException invalid) {
            throw RejectionMessages.toFailure(invalid);
        }
    }

    private static ControlClient client(String control) throws CommandFailure {
        List<String> addresses = List.of(control.split(","));
        for (String address : addresses) {
            if (!address.matches("[A-Za-z0-9.-]+:[0-9]{1,5}")) {
                throw new CommandFailure(CommandFailure.INVALID_USAGE, address + " is no HOST:PORT");
            }
        }
        return new ControlClient(addresses);
    }

    private static ControlClient.Response read(ControlClient client) throws CommandFailure, InterruptedException {
        ControlClient.Response answer = client.call("GET", PATH, null, null);
        if (answer.status() == NOT_FOUND) {
            throw new CommandFailure(CommandFailure.UNCLEAR, "there is no configuration yet");
        }
        if (!answer.isSuccess()) {
            throw RejectionMessages.toFailure(answer);
        }
        return answer;
    }

    /** Without an explicit base version, the change builds on the current one, or on none if there is none. */
    private static void send(String method, ControlClient client, byte[] json, Long ifMatch)
            throws CommandFailure, InterruptedException, IOException {
        long base = ifMatch != null ? ifMatch : current(client);
        ControlClient.Response answer = client.call(method, PATH, json, base);
        if (!answer.isSuccess()) {
            throw RejectionMessages.toFailure(answer);
        }
    }

    private static long current(ControlClient client) throws CommandFailure, InterruptedException, IOException {
        ControlClient.Response answer = client.call("GET", PATH, null, null);
        if (answer.status() == NOT_FOUND) {
            return 0;
        }
        if (!answer.isSuccess()) {
            throw RejectionMessages.toFailure(answer);
        }
        return valid(answer.body()).version();
    }
}
