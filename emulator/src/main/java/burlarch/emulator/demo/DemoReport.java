package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Report of the demo: values with their requirements. */
final class DemoReport {
    /** Minimum fraction of the requests that must be served. */
    static final double MIN_SERVED_FRACTION = 0.95;

    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, String value, String requirement, boolean isMet) {}

    /** Adds the numbers of all requests, of those served, of those served late, and of those that failed. */
    DemoReport requests(int requests, int served, int late, int failed) {
        rows.add(new Row("asked", Integer.toString(requests), "over 0", requests > 0));
        rows.add(new Row(
                "served",
                Integer.toString(served),
                percent(MIN_SERVED_FRACTION) + " of asked",
                served >= requests * MIN_SERVED_FRACTION));
        rows.add(new Row("late", Integer.toString(late), "", true));
        rows.add(new Row("failed", Integer.toString(failed), "", true));
        return this;
    }

    private static String percent(double fraction) {
        return String.format(Locale.ROOT, "%.0f%%", fraction * 100);
    }

    /** Adds a count that must be 0. */
    DemoReport requireZero(String name, int count) {
        rows.add(new Row(name, Integer.toString(count), "0", count == 0));
        return this;
    }

    /** Adds the versions that routers or engines have in force; each must be the newest. */
    DemoReport versions(String name, Map<String, Long> versionByHolder, long newest) {
        versionByHolder.forEach((holder, version) -> rows.add(
                new Row(name + " on " + holder, Long.toString(version), Long.toString(newest), version == newest)));
        return this;
    }

    /** Adds a step that must have succeeded. */
    DemoReport step(String name, boolean succeeded) {
        rows.add(new Row(name, succeeded ? "yes" : "no", "yes", succeeded));
        return this;
    }

    boolean passes() {
        return rows.stream().allMatch(Row::isMet);
    }

    /** Formats the report as a table with one line per row, and the verdict. */
    String table() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "  %-4s %-44s %8s   %s%n",
                    row.isMet() ? "ok" : "BAD",
                    row.name(),
                    row.value(),
                    row.requirement()));
        }
        return text.append(passes() ? "verdict: good" : "verdict: BAD").toString();
    }
}
