package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The figures of a bench beside their goals. */
final class BenchTable {
    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, double figure, String unit, double below) {
        boolean good() {
            return Double.isNaN(below) || figure < below;
        }
    }

    /** Adds a figure that has to be below its goal. */
    BenchTable goal(String name, double figure, String unit, double below) {
        rows.add(new Row(name, figure, unit, below));
        return this;
    }

    /** Adds a figure that has no goal. */
    BenchTable note(String name, double figure, String unit) {
        return goal(name, figure, unit, Double.NaN);
    }

    boolean passes() {
        return rows.stream().allMatch(Row::good);
    }

    /** The table, a line a row. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            String mark = Double.isNaN(row.below()) ? "" : row.good() ? "ok" : "MISS";
            String bar = Double.isNaN(row.below()) ? "" : "< " + Double.toString(row.below());
            text.append(String.format(
                    Locale.ROOT, "  %-4s %-48s %9.2f %-9s %s%n", mark, row.name(), row.figure(), row.unit(), bar));
        }
        return text.append(passes() ? "all goals reached" : "a goal is MISSED").toString();
    }
}
