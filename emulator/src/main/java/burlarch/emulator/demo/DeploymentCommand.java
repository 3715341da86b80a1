package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reader of the command with which the deployment starts a process of a role. */
final class DeploymentCommand {
    private static final String RUN_LINE_START = "run = \"";

    private DeploymentCommand() {}

    /**
     * Returns the command of a role from deploy/system.toml below {@code home}, with the path of the running
     * Java instead of "java".
     *
     * @throws IOException if the file cannot be read or has no command for the role
     */
    static List<String> of(Path home, String role) throws IOException {
        for (String line : Files.readAllLines(home.resolve("deploy").resolve("system.toml"))) {
            if (line.startsWith(RUN_LINE_START) && line.endsWith(" " + role + "\"")) {
                String command = line.substring(RUN_LINE_START.length(), line.length() - 1);
                List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
                arguments.set(
                        0,
                        Path.of(System.getProperty("java.home"), "bin", "java").toString());
                return arguments;
            }
        }
        throw new IOException("deploy/system.toml has no run line of role " + role);
    }
}
