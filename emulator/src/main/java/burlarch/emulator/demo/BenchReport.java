package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Report of the bench: measured values, with the bounds that they must stay below. */
final class BenchReport {
    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, double value, String unit, double bound) {
        boolean isMet() {
            return Double.isNaN(bound) || value < bound;
        }
    }

    /** Adds a value that must be below its bound. */
    BenchReport goal(String name, double measured, String unit, double bound) {
        rows.add(new Row(name, measured, unit, bound));
        return this;
    }

    /** Adds a value without a bound. */
    BenchReport value(String name, double measured, String unit) {
        return goal(name, measured, unit, Double.NaN);
    }

    boolean passes() {
        return rows.stream().allMatch(Row::isMet);
    }

    /** Formats the report as a table with one line per row. */
    String format() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            String result = Double.isNaN(row.bound()) ? "" : row.isMet() ? "ok" : "MISS";
            String limit = Double.isNaN(row.bound()) ? "" : "< " + Double.toString(row.bound());
            text.append(String.format(
                    Locale.ROOT, "  %-4s %-48s %9.2f %-9s %s%n", result, row.name(), row.value(), row.unit(), limit));
        }
        return text.append(passes() ? "all goals reached" : "a goal is MISSED").toString();
    }
}
