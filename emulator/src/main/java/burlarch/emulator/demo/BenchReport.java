package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The report of the bench: values beside the bounds that they must stay below. */
final class BenchReport {
    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, double value, String unit, double bound) {
        boolean met() {
            return Double.isNaN(bound) || value < bound;
        }
    }

    /** Adds a value that must be below its bound. */
    BenchReport goal(String name, double figure, String unit, double bound) {
        rows.add(new Row(name, figure, unit, bound));
        return this;
    }

    /** Adds a value without a bound. */
    BenchReport value(String name, double figure, String unit) {
        return goal(name, figure, unit, Double.NaN);
    }

    boolean passes() {
        return rows.stream().allMatch(Row::met);
    }

    /** The table, a line a row. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            String mark = Double.isNaN(row.bound()) ? "" : row.met() ? "ok" : "MISS";
            String bar = Double.isNaN(row.bound()) ? "" : "< " + Double.toString(row.bound());
            text.append(String.format(
                    Locale.ROOT, "  %-4s %-48s %9.2f %-9s %s%n", mark, row.name(), row.value(), row.unit(), bar));
        }
        return text.append(passes() ? "all goals reached" : "a goal is MISSED").toString();
    }
}
