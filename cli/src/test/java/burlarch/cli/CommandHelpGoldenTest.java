package burlarch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/**
 * Compares the complete help of every command (names, options, parameters, exit codes) with the golden file of the
 * previous release.
 */
class CommandHelpGoldenTest {
    @Test
    void helpOfEveryCommandMatchesGoldenFile() {
        assertEquals(new GoldenFiles("command-line").lines("help.txt"), helpLines());
    }

    static List<String> helpLines() {
        List<String> lines = new ArrayList<>();
        addHelp("burlarch", Main.commandLine(), lines);
        return lines;
    }

    private static void addHelp(String name, CommandLine command, List<String> lines) {
        lines.add("> " + name + " --help");
        command.getUsageMessage(CommandLine.Help.Ansi.OFF)
                .lines()
                .filter(line -> !line.isBlank())
                .forEach(line -> lines.add("  " + line));
        for (Map.Entry<String, CommandLine> subcommand :
                command.getSubcommands().entrySet()) {
            addHelp(name + " " + subcommand.getKey(), subcommand.getValue(), lines);
        }
    }
}
