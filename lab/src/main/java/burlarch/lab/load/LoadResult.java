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

/** Result of a load-generator run. Latencies are measured from the time at which a request was due. */
public final class LoadResult {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

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

    /** Number of completed requests, including retries. */
    public long completed() {
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

    /** Latency percentile of served requests, in milliseconds. */
    public double servedMs(double percent) {
        return statistics.served.getValueAtPercentile(percent) / 1e3;
    }

    /** Number of served requests that took longer than the given milliseconds. */
    public long servedOver(double ms) {
        return statistics.served.getTotalCount() - statistics.served.getCountBetweenValues(0, (long) (ms * 1e3));
    }

    /** Percentile of the generator's own send delay, in milliseconds. */
    public double lagMs(double percent) {
        return statistics.lag.getValueAtPercentile(percent) / 1e6;
    }

    /**
     * Whether the generator kept to its schedule: a p99 send delay above the limit would distort the measured
     * latencies.
     */
    public boolean valid() {
        return lagMs(99) <= plan.maxLagMs();
    }

    /**
     * Returns the figures by the names that thresholds and comparisons use; outcome figures are fractions of the
     * completed requests.
     */
    public Map<String, Double> figures() {
        Map<String, Double> figures = new LinkedHashMap<>();
        double completedCount = Math.max(1, completed());
        for (double percent : PERCENTILES) {
            figures.put(percentileName(percent), servedMs(percent));
        }
        figures.put("mean_ms", statistics.served.getMean() / 1e3);
        figures.put("requests", (double) completed());
        figures.put("served", served() / completedCount);
        figures.put("refused", refused() / completedCount);
        figures.put("failed", failed() / completedCount);
        figures.put("unanswered", unanswered() / completedCount);
        figures.put("unsent", unsent() / completedCount);
        figures.put("late", late() / completedCount);
        figures.put("in_aim", (served() - late()) / completedCount);
        figures.put("retries", statistics.retries / completedCount);
        figures.put("lag_p99_ms", lagMs(99));
        for (int i = 0; i < plan.classes().size(); i++) {
            String name = plan.classes().get(i).name();
            long sum = 0;
            for (long count : statistics.classOutcomes[i]) {
                sum += count;
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

    private static String percentileName(double percent) {
        return percent == 100
                ? "max_ms"
                : "p"
                        + String.format(Locale.ROOT, "%s", percent)
                                .replace(".0", "")
                                .replace(".", "") + "_ms";
    }

    /** Formats the current counts and latencies as one progress line. */
    public String progressLine() {
        return String.format(
                Locale.ROOT,
                "%d of %d ended: served %d, refused %d, failed %d, unanswered %d, "
                        + "unsent %d; p50 %.1f ms, p99 %.1f ms, max %.1f ms; own lag p99 %.2f ms",
                completed(),
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

    /** Counts and latencies of the requests that were due in one second of the run. */
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

    /** Returns the figures of each second of the run, in chronological order. */
    public List<SecondFigures> seconds() {
        List<SecondFigures> figures = new ArrayList<>();
        for (int i = 0; i < statistics.seconds.size(); i++) {
            LoadStatistics.Second second = statistics.seconds.get(i);
            figures.add(new SecondFigures(
                    i,
                    second.outcomes[Outcome.SERVED.ordinal()],
                    second.outcomes[Outcome.REFUSED.ordinal()],
                    second.outcomes[Outcome.FAILED.ordinal()],
                    second.outcomes[Outcome.UNANSWERED.ordinal()]
                            + second.outcomes[Outcome.LOST.ordinal()]
                            + second.outcomes[Outcome.UNSENT.ordinal()],
                    second.late,
                    second.served.getValueAtPercentile(50) / 1e3,
                    second.served.getValueAtPercentile(99) / 1e3,
                    second.served.getMaxValue() / 1e3));
        }
        return figures;
    }

    /** Returns points (percentile, milliseconds) of the served latencies, for a plot. */
    public List<double[]> percentiles() {
        List<double[]> points = new ArrayList<>();
        for (double percent = 1; percent < 100; percent += percent < 90 ? 1 : percent < 99 ? 0.25 : 0.02) {
            points.add(new double[] {percent, servedMs(percent)});
        }
        return points;
    }

    /** Writes counts by class, by tenant and by second as JSON. */
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
        for (SecondFigures second : seconds()) {
            json.writeStartObject();
            json.writeNumberField("s", second.second());
            json.writeNumberField("served", second.served());
            json.writeNumberField("refused", second.refused());
            json.writeNumberField("failed", second.failed());
            json.writeNumberField("unanswered", second.unanswered());
            json.writeNumberField("late", second.late());
            json.writeNumberField("p50_ms", second.p50Ms());
            json.writeNumberField("p99_ms", second.p99Ms());
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

    /** Writes an HdrHistogram interval log with one interval per second, in microseconds. */
    public void writeHistogramLog(Path file) throws IOException {
        try (PrintStream stream = new PrintStream(file.toFile(), java.nio.charset.StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(stream);
            writer.outputComment("[latency of served requests from when they were due, in microseconds]");
            writer.outputLegend();
            for (int i = 0; i < statistics.seconds.size(); i++) {
                Histogram interval = statistics.seconds.get(i).served;
                interval.setStartTimeStamp(i * 1000L);
                interval.setEndTimeStamp(i * 1000L + 1000);
                writer.outputIntervalHistogram(i, i + 1, interval, 1000);
            }
            if (stream.checkError()) {
                throw new IOException(file + ": could not be written");
            }
        }
    }
}
