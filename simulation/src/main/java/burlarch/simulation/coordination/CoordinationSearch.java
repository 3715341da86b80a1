package burlarch.simulation.coordination;

import burlarch.simulation.coordination.CoordinationRun.Result;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.fault.FaultCooccurrences;
import burlarch.simulation.coordination.fault.FaultGenerator;
import burlarch.simulation.coordination.fault.FaultSchedule;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.plan.FleetPlan;
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

/**
 * Command-line search for faults under which a fleet violates a rule: runs one randomly drawn scenario for each seed,
 * shrinks those that violate a rule, and writes them to files. {@code docs/design/control/search.md} describes it.
 */
public final class CoordinationSearch {
    /** Controller counts to draw from; common counts are repeated to raise their probability. */
    private static final int[] CONTROLLERS = {3, 3, 3, 4, 4, 5, 5, 6, 7};

    private static final int MIN_CONTROLLERS_FOR_TWO_LOSSES = 5;
    /** Multiplier that spreads consecutive numbers over the range of seeds (the golden ratio in 64 bits). */
    private static final long SEED_SPREAD = 0x9E3779B97F4A7C15L;
    /** Number of draws for one seed, of which the search runs the one with the rarest pairs of faults. */
    private static final int DRAWS = 4;

    private static final int MAX_REPORTED_VIOLATIONS = 3;

    @Option(name = "--seeds", usage = "number of seeds to run")
    private long seedCount = 100;

    @Option(name = "--from", usage = "the first seed")
    private long firstSeed = 1;

    @Option(name = "--out", usage = "folder for the scenarios that violate a rule")
    private Path outputFolder = Path.of(".");

    @Option(name = "--play", usage = "runs the scenario in this file instead")
    private Path scenarioFile;

    @Option(name = "--show", usage = "prints the scenario of the first seed instead")
    private boolean printOnly;

    @Option(name = "--plain", usage = "runs the first draw of each seed, not the one with the rarest pairs of faults")
    private boolean firstDrawOnly;

    @Option(name = "--pairs", usage = "file for the number of co-occurrences of each pair of fault kinds")
    private Path pairCountsFile;

    private final FaultCooccurrences cooccurrences = new FaultCooccurrences();

    /** A scenario and the faults that were drawn for it. */
    private record Candidate(CoordinationScenario scenario, FaultSchedule faults) {}

    /** Sums over all runs of a search. */
    private static final class Totals {
        private long violating;
        private long changes;
        private long orders;
        private long routerChecks;

        void add(Result result) {
            violating += result.violations().isEmpty() ? 0 : 1;
            changes += result.acknowledged();
            orders += result.orders();
            routerChecks += result.routerChecks();
        }
    }

    /** Returns the scenario of the first draw of a seed. */
    public static CoordinationScenario scenario(long seed) {
        return draw(seed, 0).scenario();
    }

    private static Candidate draw(long seed, int number) {
        Random random = new Random((seed * DRAWS + number) * SEED_SPREAD);
        int controllers = CONTROLLERS[random.nextInt(CONTROLLERS.length)];
        int tolerance = controllers >= MIN_CONTROLLERS_FOR_TWO_LOSSES && random.nextBoolean() ? 2 : 1;
        FleetPlan plan = FleetPlan.of(seed, controllers, tolerance);
        FaultSchedule faults = FaultGenerator.draw(plan, random, seed);
        return new Candidate(new CoordinationScenario(plan, faults.steps()), faults);
    }

    /** Returns the draw of a seed whose pairs of faults are the rarest so far. */
    private Candidate choose(long seed) {
        Candidate best = draw(seed, 0);
        for (int number = 1; number < DRAWS && !firstDrawOnly; number++) {
            Candidate other = draw(seed, number);
            if (cooccurrences.novelty(other.faults()) > cooccurrences.novelty(best.faults())) {
                best = other;
            }
        }
        return best;
    }

    /** Removes fault steps one by one while a run still violates the rule, until no single step can be removed. */
    public static CoordinationScenario shrink(CoordinationScenario scenario, Rule rule, ComponentOverrides overrides) {
        CoordinationScenario smallest = scenario;
        CoordinationScenario before;
        do {
            before = smallest;
            smallest = shrinkOnce(before, rule, overrides);
        } while (smallest.faultSteps().size() < before.faultSteps().size());
        return smallest;
    }

    private static CoordinationScenario shrinkOnce(
            CoordinationScenario scenario, Rule rule, ComponentOverrides overrides) {
        CoordinationScenario smallest = scenario;
        for (int i = smallest.faultSteps().size() - 1; i >= 0; i--) {
            List<String> remainingSteps = new ArrayList<>(smallest.faultSteps());
            remainingSteps.remove(i);
            CoordinationScenario candidate = smallest.withFaultSteps(remainingSteps);
            if (violates(candidate, rule, overrides)) {
                smallest = candidate;
            }
        }
        return smallest;
    }

    private static boolean violates(CoordinationScenario scenario, Rule rule, ComponentOverrides overrides) {
        return CoordinationRun.play(scenario, overrides).violations().stream()
                .anyMatch(violation -> violation.rule() == rule);
    }

    /** Runs the search. Exits with status 1 if a rule was violated, with 2 for invalid arguments. */
    public static void main(String[] arguments) throws IOException {
        CoordinationSearch search = new CoordinationSearch();
        CmdLineParser parser = new CmdLineParser(search);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalidArguments) {
            System.err.println(invalidArguments.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        System.exit(search.run(System.out) ? 0 : 1);
    }

    /** Returns whether no rule was violated. */
    private boolean run(PrintStream report) throws IOException {
        if (printOnly) {
            report.print(scenario(firstSeed));
            return true;
        }
        return scenarioFile != null ? playFile(report) : search(report);
    }

    private boolean playFile(PrintStream report) throws IOException {
        CoordinationScenario scenario = CoordinationScenario.parse(Files.readString(scenarioFile));
        Result result = CoordinationRun.play(scenario, ComponentOverrides.NONE);
        result.violations().forEach(report::println);
        report.println(counts(result.acknowledged(), result.orders(), result.routerChecks()));
        return result.violations().isEmpty();
    }

    private boolean search(PrintStream report) throws IOException {
        Totals totals = new Totals();
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            Candidate candidate = choose(seed);
            cooccurrences.add(candidate.faults());
            Result result = CoordinationRun.play(candidate.scenario(), ComponentOverrides.NONE);
            totals.add(result);
            if (!result.violations().isEmpty()) {
                reportViolations(seed, candidate.scenario(), result, report);
            }
        }
        report.println(seedCount + " seeds from " + firstSeed + ", " + totals.violating + " broken, "
                + counts(totals.changes, totals.orders, totals.routerChecks));
        report.println(cooccurrences.summary());
        if (pairCountsFile != null) {
            Files.write(pairCountsFile, cooccurrences.lines());
        }
        return totals.violating == 0;
    }

    private static String counts(long changes, long orders, long routerChecks) {
        return changes + " changes, " + orders + " orders, " + routerChecks + " checks of connected routers";
    }

    private void reportViolations(long seed, CoordinationScenario scenario, Result result, PrintStream report)
            throws IOException {
        report.println("seed " + seed);
        result.violations().stream().limit(MAX_REPORTED_VIOLATIONS).forEach(line -> report.println("  " + line));
        Rule rule = result.firstViolatedRule().orElseThrow();
        CoordinationScenario smallest = shrink(scenario, rule, ComponentOverrides.NONE);
        Path file = outputFolder.resolve(rule.id() + "-" + seed + ".txt");
        Files.writeString(file, smallest.toString());
        report.println("  " + file);
        smallest.faultSteps().forEach(line -> report.println("    " + line));
    }
}
