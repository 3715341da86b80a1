package burlarch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The whole help of every command: names, options, parameters, exit codes, as in the release before. */
class CommandHelpGoldenTest {
    @Test
    void theHelpOfEveryCommandIsThatOfTheReleaseBefore() {
        assertEquals(new GoldenFiles("command-line").lines("help.txt"), help());
    }

    static List<String> help() {
        List<String> lines = new ArrayList<>();
        add("burlarch", Main.line(), lines);
        return lines;
    }

    private static void add(String name, CommandLine command, List<String> lines) {
        lines.add("> " + name + " --help");
        command.getUsageMessage(CommandLine.Help.Ansi.OFF)
                .lines()
                .filter(line -> !line.isBlank())
                .forEach(line -> lines.add("  " + line));
        for (Map.Entry<String, CommandLine> inner : command.getSubcommands().entrySet()) {
            add(name + " " + inner.getKey(), inner.getValue(), lines);
        }
    }
}
