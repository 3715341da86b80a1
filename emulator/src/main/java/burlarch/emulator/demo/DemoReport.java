package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The report of the demo: values beside their requirements. */
final class DemoReport {
    /** Fraction of the requests that has to be served. */
    static final double MIN_SERVED_FRACTION = 0.95;

    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, String value, String requirement, boolean met) {}

    /** Adds requests: all of them, those served, those served late, and those that failed. */
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

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.0f%%", share * 100);
    }

    /** Adds a count that must be 0. */
    DemoReport none(String name, int count) {
        rows.add(new Row(name, Integer.toString(count), "0", count == 0));
        return this;
    }

    /** Adds the versions that routers or engines have; each must be the newest. */
    DemoReport versions(String name, Map<String, Long> found, long newest) {
        found.forEach((holder, version) -> rows.add(
                new Row(name + " on " + holder, Long.toString(version), Long.toString(newest), version == newest)));
        return this;
    }

    /** Adds a step that must have succeeded. */
    DemoReport step(String name, boolean worked) {
        rows.add(new Row(name, worked ? "yes" : "no", "yes", worked));
        return this;
    }

    boolean passes() {
        return rows.stream().allMatch(Row::met);
    }

    /** The table, a line a row. */
    String table() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "  %-4s %-44s %8s   %s%n",
                    row.met() ? "ok" : "BAD",
                    row.name(),
                    row.value(),
                    row.requirement()));
        }
        return text.append(passes() ? "verdict: good" : "verdict: BAD").toString();
    }
}
