package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The end of the demo: figures beside the bars that they have to clear. */
final class Verdict {
    /** Share of the requests that has to be served. */
    static final double LEAST_SERVED = 0.95;

    private final List<Row> rows = new ArrayList<>();

    private record Row(String name, String figure, String bar, boolean good) {}

    /** Adds requests: all of them, those served, those served late, and those that failed. */
    Verdict requests(int asked, int served, int late, int failed) {
        rows.add(new Row("asked", Integer.toString(asked), "over 0", asked > 0));
        rows.add(new Row(
                "served",
                Integer.toString(served),
                percent(LEAST_SERVED) + " of asked",
                served >= asked * LEAST_SERVED));
        rows.add(new Row("late", Integer.toString(late), "", true));
        rows.add(new Row("failed", Integer.toString(failed), "", true));
        return this;
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.0f%%", share * 100);
    }

    /** Adds a count that has to be 0. */
    Verdict none(String name, int count) {
        rows.add(new Row(name, Integer.toString(count), "0", count == 0));
        return this;
    }

    /** Adds versions, by who has them, that have to be the newest. */
    Verdict versions(String name, Map<String, Long> found, long newest) {
        found.forEach((holder, version) -> rows.add(
                new Row(name + " on " + holder, Long.toString(version), Long.toString(newest), version == newest)));
        return this;
    }

    /** Adds a step that has to have worked. */
    Verdict step(String name, boolean worked) {
        rows.add(new Row(name, worked ? "yes" : "no", "yes", worked));
        return this;
    }

    boolean passes() {
        return rows.stream().allMatch(Row::good);
    }

    /** The table, a line a row. */
    String table() {
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "  %-4s %-44s %8s   %s%n",
                    row.good() ? "ok" : "BAD",
                    row.name(),
                    row.figure(),
                    row.bar()));
        }
        return text.append(passes() ? "verdict: good" : "verdict: BAD").toString();
    }
}
