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
 * The command {@code config} with its subcommands get, put, patch and validate. The subcommands are public because
 * args4j instantiates them.
 */
public final class ConfigCommand {
    private static final String CONFIGURATION_PATH = "/burlarch/config";
    private static final int NOT_FOUND = 404;

    private ConfigCommand() {}

    /** A subcommand, whose fields args4j sets before it is run. */
    public interface Action {
        /**
         * Runs the subcommand.
         *
         * @param output receives the result for the operator
         * @throws CommandException if the reason and the exit code are known
         */
        void run(PrintStream output) throws Exception;
    }

    /** {@code get}: prints the configuration in force. */
    public static final class Get implements Action {
        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String controlAddresses;

        @Override
        public void run(PrintStream output) throws Exception {
            ControlClient.Response response = fetchConfiguration(createClient(controlAddresses));
            output.write(response.body());
            output.println();
        }
    }

    /** {@code put}: sends a complete configuration. */
    public static final class Put implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String controlAddresses;

        @Option(name = "--if-match", metaVar = "N")
        private Long ifMatch;

        @Override
        public void run(PrintStream output) throws Exception {
            byte[] json = Files.readAllBytes(file);
            long version = parseValid(json).version();
            sendChange("PUT", createClient(controlAddresses), json, ifMatch);
            output.println("configuration " + version + " is acknowledged");
        }
    }

    /** {@code patch}: sends a change to named items of the configuration. */
    public static final class Patch implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Option(name = "--control", metaVar = "HOST:PORT[,HOST:PORT...]", required = true)
        private String controlAddresses;

        @Option(name = "--if-match", metaVar = "N")
        private Long ifMatch;

        @Override
        public void run(PrintStream output) throws Exception {
            byte[] json = Files.readAllBytes(file);
            long version;
            try {
                version = ConfigurationPatch.parse(json).version();
            } catch (InvalidConfigurationException e) {
                throw RejectionMessages.toException(e);
            }
            sendChange("PATCH", createClient(controlAddresses), json, ifMatch);
            output.println("configuration " + version + " is acknowledged");
        }
    }

    /** {@code validate}: validates a complete configuration locally, without calling a controller. */
    public static final class Validate implements Action {
        @Argument(metaVar = "FILE", required = true)
        private Path file;

        @Override
        public void run(PrintStream output) throws Exception {
            output.println(file + ": valid configuration "
                    + parseValid(Files.readAllBytes(file)).version());
        }
    }

    private static ConfigurationDocument parseValid(byte[] json) throws CommandException {
        try {
            return ConfigurationDocument.parse(json);
        } catch (InvalidConfigurationException e) {
            throw RejectionMessages.toException(e);
        }
    }

    private static ControlClient createClient(String controlAddresses) throws CommandException {
        List<String> addresses = List.of(controlAddresses.split(","));
        for (String address : addresses) {
            if (!address.matches("[A-Za-z0-9.-]+:[0-9]{1,5}")) {
                throw new CommandException(
                        CommandException.INVALID_USAGE,
                        address + " is not a valid control address, expected HOST:PORT");
            }
        }
        return new ControlClient(addresses);
    }

    private static ControlClient.Response fetchConfiguration(ControlClient client)
            throws CommandException, InterruptedException {
        ControlClient.Response response = client.call("GET", CONFIGURATION_PATH, null, null);
        if (response.status() == NOT_FOUND) {
            throw new CommandException(CommandException.OUTCOME_UNKNOWN, "there is no configuration yet");
        }
        if (!response.isSuccess()) {
            throw RejectionMessages.toException(response);
        }
        return response;
    }

    /** Sends a change that is based on the given version, or on the version in force if that is null. */
    private static void sendChange(String method, ControlClient client, byte[] json, Long ifMatch)
            throws CommandException, InterruptedException, IOException {
        long baseVersion = ifMatch != null ? ifMatch : versionInForce(client);
        ControlClient.Response response = client.call(method, CONFIGURATION_PATH, json, baseVersion);
        if (!response.isSuccess()) {
            throw RejectionMessages.toException(response);
        }
    }

    /** Returns the version in force, 0 if there is no configuration yet. */
    private static long versionInForce(ControlClient client)
            throws CommandException, InterruptedException, IOException {
        ControlClient.Response response = client.call("GET", CONFIGURATION_PATH, null, null);
        if (response.status() == NOT_FOUND) {
            return 0;
        }
        if (!response.isSuccess()) {
            throw RejectionMessages.toException(response);
        }
        return parseValid(response.body()).version();
    }
}
