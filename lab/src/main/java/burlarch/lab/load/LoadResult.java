package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** What a run of the generator came to. Latencies are from when a request was due. */
public final class LoadResult {
    private static final double[] PERCENTS = {50, 90, 99, 99.9, 100};

    private final LoadPlan plan;
    private final LoadStatistics statistics;
    private final int planned;

    LoadResult(LoadPlan plan, LoadStatistics statistics, int planned) {
        this.plan = plan;
        this.statistics = statistics;
        this.planned = planned;
    }

    private long count(Outcome outcome) {
        long sum = 0;
        for (long[] outcomes : statistics.classOutcomes) {
            sum += outcomes[outcome.ordinal()];
        }
        return sum;
    }

    /** Requests that have ended, retries among them. */
    public long ended() {
        long sum = 0;
        for (Outcome outcome : Outcome.values()) {
            sum += count(outcome);
        }
        return sum;
    }

    public long served() {
        return count(Outcome.SERVED);
    }

    public long refused() {
        return count(Outcome.REFUSED);
    }

    public long failed() {
        return count(Outcome.FAILED);
    }

    public long unanswered() {
        return count(Outcome.UNANSWERED) + count(Outcome.LOST);
    }

    public long unsent() {
        return count(Outcome.UNSENT);
    }

    public long late() {
        long sum = 0;
        for (long late : statistics.lateByClass) {
            sum += late;
        }
        return sum;
    }

    public int planned() {
        return planned;
    }

    /** @return milliseconds, of what was served */
    public double servedMs(double percent) {
        return statistics.served.getValueAtPercentile(percent) / 1e3;
    }

    /** How many served requests took over so many milliseconds. */
    public long servedOver(double ms) {
        return statistics.served.getTotalCount() - statistics.served.getCountBetweenValues(0, (long) (ms * 1e3));
    }

    /** The generator's own lag. @return milliseconds */
    public double lagMs(double percent) {
        return statistics.lag.getValueAtPercentile(percent) / 1e6;
    }

    /** Whether the generator was so late itself that what it measured is not the servers' doing. */
    public boolean valid() {
        return lagMs(99) <= plan.lagMostMs();
    }

    /** The figures that bars and comparisons name. */
    public Map<String, Double> figures() {
        Map<String, Double> figures = new LinkedHashMap<>();
        double all = Math.max(1, ended());
        for (double percent : PERCENTS) {
            figures.put(name(percent), servedMs(percent));
        }
        figures.put("mean_ms", statistics.served.getMean() / 1e3);
        figures.put("requests", (double) ended());
        figures.put("served", served() / all);
        figures.put("refused", refused() / all);
        figures.put("failed", failed() / all);
        figures.put("unanswered", unanswered() / all);
        figures.put("unsent", unsent() / all);
        figures.put("late", late() / all);
        figures.put("in_aim", (served() - late()) / all);
        figures.put("retries", statistics.retries / all);
        figures.put("lag_p99_ms", lagMs(99));
        for (int i = 0; i < plan.classes().size(); i++) {
            String name = plan.classes().get(i).name();
            long sum = 0;
            for (long n : statistics.classOutcomes[i]) {
                sum += n;
            }
            figures.put(name + ".p99_ms", statistics.byClass[i].getValueAtPercentile(99) / 1e3);
            figures.put(name + ".served", statistics.classOutcomes[i][Outcome.SERVED.ordinal()] / Math.max(1.0, sum));
            figures.put(
                    name + ".in_aim",
                    (statistics.classOutcomes[i][Outcome.SERVED.ordinal()] - statistics.lateByClass[i])
                            / Math.max(1.0, sum));
        }
        return figures;
    }

    private static String name(double percent) {
        return percent == 100
                ? "max_ms"
                : "p"
                        + String.format(Locale.ROOT, "%s", percent)
                                .replace(".0", "")
                                .replace(".", "") + "_ms";
    }

    /** One line of the run, as it goes. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%d of %d ended: served %d, refused %d, failed %d, unanswered %d, "
                        + "unsent %d; p50 %.1f ms, p99 %.1f ms, max %.1f ms; own lag p99 %.2f ms",
                ended(),
                planned,
                served(),
                refused(),
                failed(),
                unanswered(),
                unsent(),
                servedMs(50),
                servedMs(99),
                servedMs(100),
                lagMs(99));
    }

    /** A second of the run, by when its requests were due. */
    public record SecondFigures(
            int second,
            long served,
            long refused,
            long failed,
            long unanswered,
            long late,
            double p50Ms,
            double p99Ms,
            double maxMs) {}

    /** The figures of each second of the run, in order of time. */
    public List<SecondFigures> seconds() {
        List<SecondFigures> figures = new ArrayList<>();
        for (int i = 0; i < statistics.seconds.size(); i++) {
            LoadStatistics.Second s = statistics.seconds.get(i);
            figures.add(new SecondFigures(
                    i,
                    s.outcomes[Outcome.SERVED.ordinal()],
                    s.outcomes[Outcome.REFUSED.ordinal()],
                    s.outcomes[Outcome.FAILED.ordinal()],
                    s.outcomes[Outcome.UNANSWERED.ordinal()]
                            + s.outcomes[Outcome.LOST.ordinal()]
                            + s.outcomes[Outcome.UNSENT.ordinal()],
                    s.late,
                    s.served.getValueAtPercentile(50) / 1e3,
                    s.served.getValueAtPercentile(99) / 1e3,
                    s.served.getMaxValue() / 1e3));
        }
        return figures;
    }

    /** Percentiles of what was served, for a plot: percent and milliseconds. */
    public List<double[]> percentiles() {
        List<double[]> points = new ArrayList<>();
        for (double percent = 1; percent < 100; percent += percent < 90 ? 1 : percent < 99 ? 0.25 : 0.02) {
            points.add(new double[] {percent, servedMs(percent)});
        }
        return points;
    }

    /** Writes what was counted by class and tenant, and by second. */
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeBooleanField("valid", valid());
        json.writeNumberField("planned", planned);
        json.writeNumberField("connects", statistics.connects);
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : figures().entrySet()) {
            json.writeNumberField(figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
        json.writeObjectFieldStart("by_class");
        for (int i = 0; i < plan.classes().size(); i++) {
            outcomes(json, plan.classes().get(i).name(), statistics.classOutcomes[i]);
        }
        json.writeEndObject();
        json.writeObjectFieldStart("by_tenant");
        for (int i = 0; i < plan.tenants().size(); i++) {
            outcomes(json, plan.tenants().get(i).name(), statistics.tenantOutcomes[i]);
        }
        json.writeEndObject();
        json.writeArrayFieldStart("seconds");
        for (SecondFigures s : seconds()) {
            json.writeStartObject();
            json.writeNumberField("s", s.second());
            json.writeNumberField("served", s.served());
            json.writeNumberField("refused", s.refused());
            json.writeNumberField("failed", s.failed());
            json.writeNumberField("unanswered", s.unanswered());
            json.writeNumberField("late", s.late());
            json.writeNumberField("p50_ms", s.p50Ms());
            json.writeNumberField("p99_ms", s.p99Ms());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void outcomes(JsonGenerator json, String name, long[] outcomes) throws IOException {
        json.writeObjectFieldStart(name);
        for (Outcome outcome : Outcome.values()) {
            json.writeNumberField(outcome.name().toLowerCase(Locale.ROOT), outcomes[outcome.ordinal()]);
        }
        json.writeEndObject();
    }

    /** Writes HdrHistogram's log of intervals, a second each, in microseconds. */
    public void writeHistogramLog(Path file) throws IOException {
        try (PrintStream out = new PrintStream(file.toFile(), java.nio.charset.StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(out);
            writer.outputComment("[latency of served requests from when they were due, in microseconds]");
            writer.outputLegend();
            for (int i = 0; i < statistics.seconds.size(); i++) {
                Histogram interval = statistics.seconds.get(i).served;
                interval.setStartTimeStamp(i * 1000L);
                interval.setEndTimeStamp(i * 1000L + 1000);
                writer.outputIntervalHistogram(i, i + 1, interval, 1000);
            }
            if (out.checkError()) {
                throw new IOException(file + ": could not be written");
            }
        }
    }
}
