package burlarch.simulation.coordination;

import burlarch.simulation.coordination.CoordinationRun.Result;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Looks for troubles under which the coordination breaks a rule: one drawn scenario for each seed. */
public final class CoordinationSearch {
    private static final int[] SIZES = {3, 3, 4, 5, 5, 6};

    @Option(name = "--seeds", usage = "how many seeds")
    private long seeds = 100;

    @Option(name = "--from", usage = "the first seed")
    private long from = 1;

    @Option(name = "--out", usage = "folder for the scenarios that were found")
    private Path out = Path.of(".");

    @Option(name = "--play", usage = "plays a scenario of such a file instead")
    private Path play;

    /** The scenario of a seed. */
    public static CoordinationScenario scenario(long seed) {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        FleetPlan plan = FleetPlan.of(seed, SIZES[random.nextInt(SIZES.length)]);
        return new CoordinationScenario(plan, Troubles.draw(plan, random));
    }

    /** The scenario without those troubles that the first broken rule doesn't need. */
    public static CoordinationScenario shrink(CoordinationScenario scenario, String rule, Doubles doubles) {
        CoordinationScenario smallest = scenario;
        for (int i = smallest.troubles().size() - 1; i >= 0; i--) {
            List<String> fewer = new ArrayList<>(smallest.troubles());
            fewer.remove(i);
            CoordinationScenario candidate = smallest.withTroubles(fewer);
            if (CoordinationRun.play(candidate, doubles).violations().stream()
                    .anyMatch(line -> Violations.rule(line).equals(rule))) {
                smallest = candidate;
            }
        }
        return smallest;
    }

    /** Runs the search; ends with 1 where a rule was broken, with 2 for a wrong call. */
    public static void main(String[] arguments) throws IOException {
        CoordinationSearch search = new CoordinationSearch();
        CmdLineParser parser = new CmdLineParser(search);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println(wrong.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        System.exit(search.run(System.out) ? 0 : 1);
    }

    private boolean run(PrintStream report) throws IOException {
        if (play != null) {
            Result result = CoordinationRun.play(CoordinationScenario.parse(Files.readString(play)),
                    Doubles.NONE);
            result.violations().forEach(report::println);
            report.println(result.acknowledged() + " changes, " + result.orders() + " orders, "
                    + result.judged()
                    + " looks at routers in touch");
            return result.violations().isEmpty();
        }
        long broken = 0;
        long changes = 0;
        long orders = 0;
        long judged = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            Result result = CoordinationRun.play(scenario(seed), Doubles.NONE);
            changes += result.acknowledged();
            orders += result.orders();
            judged += result.judged();
            if (!result.violations().isEmpty()) {
                broken++;
                tell(seed, result, report);
            }
        }
        report.println(seeds + " seeds from " + from + ", " + broken + " broken, " + changes + " changes, "
                + orders
                + " orders, " + judged + " looks at routers in touch");
        return broken == 0;
    }

    private void tell(long seed, Result result, PrintStream report) throws IOException {
        report.println("seed " + seed);
        result.violations().stream().limit(3).forEach(line -> report.println("  " + line));
        CoordinationScenario smallest = shrink(scenario(seed), result.firstRule(), Doubles.NONE);
        Path file = out.resolve(result.firstRule() + "-" + seed + ".txt");
        Files.writeString(file, smallest.toString());
        report.println("  " + file);
        smallest.troubles().forEach(line -> report.println("    " + line));
    }
}
