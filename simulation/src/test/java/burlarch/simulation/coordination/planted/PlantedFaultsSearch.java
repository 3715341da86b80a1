package burlarch.simulation.coordination.planted;

import burlarch.simulation.coordination.CoordinationRun;
import burlarch.simulation.coordination.CoordinationSearch;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.check.Violation;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/** Search for the first seed that finds each planted fault; {@link #main} prints the table for the documentation. */
public final class PlantedFaultsSearch {
    private PlantedFaultsSearch() {}

    /** Returns the first of {@code seedCount} seeds whose scenario violates one of the fault's rules. */
    public static OptionalLong firstSeedThatFinds(PlantedFault fault, long firstSeed, long seedCount) {
        return LongStream.range(firstSeed, firstSeed + seedCount)
                .filter(seed -> violatedRule(fault, seed).isPresent())
                .findFirst();
    }

    /** Returns the rule of the seed's first violation of one of the fault's rules. */
    private static Optional<Rule> violatedRule(PlantedFault fault, long seed) {
        return CoordinationRun.play(CoordinationSearch.scenario(seed), fault.plant()).violations().stream()
                .map(Violation::rule)
                .filter(fault.rules()::contains)
                .findFirst();
    }

    /** Arguments: the maximum number of seeds for each fault, then the names of the faults (all if none are given). */
    public static void main(String[] arguments) {
        long maxSeeds = Long.parseLong(arguments[0]);
        List<String> names = List.of(arguments).subList(1, arguments.length);
        for (PlantedFault fault : PlantedFault.values()) {
            if (names.isEmpty() || names.contains(fault.name())) {
                System.out.println("| " + fault + " | " + describeFirstFinding(fault, maxSeeds) + " |");
            }
        }
    }

    private static String describeFirstFinding(PlantedFault fault, long maxSeeds) {
        OptionalLong seed = firstSeedThatFinds(fault, 1, maxSeeds);
        if (seed.isEmpty()) {
            return "- | over " + maxSeeds;
        }
        Rule rule = violatedRule(fault, seed.getAsLong()).orElseThrow();
        return rule.id() + " | " + seed.getAsLong();
    }
}
