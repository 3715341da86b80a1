package burlarch.simulation.coordination;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/** How many seeds it takes to find each planted fault; {@link #main} prints the table of the docs. */
final class PlantedFaultsSearch {
    private PlantedFaultsSearch() {}

    /** The first seed whose scenario breaks one of the fault's rules. */
    static OptionalLong firstFound(PlantedFaults fault, long from, long seeds) {
        return LongStream.range(from, from + seeds)
                .filter(seed -> broken(fault, seed) != null)
                .findFirst();
    }

    /** The first of the fault's rules that the seed's scenario breaks, or null. */
    private static String broken(PlantedFaults fault, long seed) {
        List<String> violations = CoordinationRun.play(CoordinationSearch.scenario(seed), fault.plant())
                .violations();
        return violations.stream()
                .map(ViolationLog::rule)
                .filter(fault.rules()::contains)
                .findFirst()
                .orElse(null);
    }

    /** Arguments: the most seeds for each, and the faults' names, all where there are none. */
    public static void main(String[] arguments) {
        long most = Long.parseLong(arguments[0]);
        List<String> names = List.of(arguments).subList(1, arguments.length);
        for (PlantedFaults fault : PlantedFaults.values()) {
            if (names.isEmpty() || names.contains(fault.name())) {
                OptionalLong seed = firstFound(fault, 1, most);
                String found = seed.isPresent()
                        ? broken(fault, seed.getAsLong()) + " | " + seed.getAsLong()
                        : "- | over " + most;
                System.out.println("| " + fault + " | " + found + " |");
            }
        }
    }
}
