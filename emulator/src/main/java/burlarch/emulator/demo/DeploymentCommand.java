package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the command by which the deployment starts a role. */
final class DeploymentCommand {
    private static final String BEGIN = "run = \"";

    private DeploymentCommand() {}

    /** The command of a role in the folder's deploy/system.toml, with the running Java for "java". */
    static List<String> of(Path home, String role) throws IOException {
        for (String line : Files.readAllLines(home.resolve("deploy").resolve("system.toml"))) {
            if (line.startsWith(BEGIN) && line.endsWith(" " + role + "\"")) {
                String command = line.substring(BEGIN.length(), line.length() - 1);
                List<String> words = new ArrayList<>(List.of(command.split(" ")));
                words.set(
                        0,
                        Path.of(System.getProperty("java.home"), "bin", "java").toString());
                return words;
            }
        }
        throw new IOException("deploy/system.toml tells no run line of role " + role);
    }
}
