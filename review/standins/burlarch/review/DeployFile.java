package burlarch.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The commands of the roles in {@code deploy/system.toml}. */
final class DeployFile {
    private DeployFile() {}

    /** Returns the command of a role, divided at spaces as the platform divides it. */
    static List<String> command(Path repository, String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = \"")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("deploy/system.toml has no role " + role);
    }
}
