package burlarch.lab.report;

import burlarch.audit.Breach;
import burlarch.lab.experiment.ExperimentResult;
import burlarch.lab.experiment.Threshold;
import burlarch.lab.load.LoadResult;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/**
 * Writes the result of a run: {@code summary.json} for programs, {@code report.html} with plots for people, and
 * {@code cpu.tsv} with CPU samples.
 */
public final class Report {
    private static final int MAX_BREACHES_SHOWN = 20;

    private Report() {}

    public static void write(ExperimentResult result, Path folder) throws IOException {
        try (JsonGenerator json =
                new JsonFactory().createGenerator(Files.newBufferedWriter(folder.resolve("summary.json")))) {
            json.useDefaultPrettyPrinter();
            writeSummary(json, result);
        }
        Files.writeString(folder.resolve("report.html"), html(result));
        Files.writeString(folder.resolve("cpu.tsv"), cpuTable(result));
    }

    /** One line for each proxy, sample and thread group: CPU cores used in the preceding 100 ms. */
    private static String cpuTable(ExperimentResult result) {
        StringBuilder text = new StringBuilder("proxy\ts\tthreads\tcores\n");
        result.usage()
                .forEach((proxy, samples) -> samples.forEach(sample -> sample.byThread()
                        .forEach((group, share) -> text.append(String.format(
                                Locale.ROOT, "%s\t%.3f\t%s\t%.4f%n", proxy, sample.timeS(), group, share)))));
        return text.toString();
    }

    private static void writeSummary(JsonGenerator json, ExperimentResult result) throws IOException {
        json.writeStartObject();
        json.writeStringField("experiment", result.plan().name());
        json.writeNumberField("status", result.status());
        json.writeStringField("audit", result.verdict().summary());
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : new java.util.TreeMap<>(result.figures()).entrySet()) {
            json.writeNumberField(figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("bars");
        for (Threshold.Check check : result.thresholds()) {
            json.writeString(check.toString());
        }
        json.writeEndArray();
        json.writeArrayFieldStart("breaches");
        for (Breach breach : result.verdict().breaches()) {
            json.writeString(breach.toString());
        }
        json.writeEndArray();
        json.writeArrayFieldStart("events");
        for (ExperimentResult.TimelineEvent event : result.timelineEvents()) {
            json.writeStartObject();
            json.writeNumberField("s", event.timeS());
            json.writeStringField("what", event.text());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeFieldName("load");
        result.load().write(json);
        json.writeEndObject();
    }

    /** Returns a short summary for the terminal. */
    public static String textSummary(ExperimentResult result) {
        Map<String, Double> figures = result.figures();
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%s%n  requests %.0f: served %.2f%%, refused %.2f%%, failed %.2f%%, " + "unanswered %.2f%%%n",
                result.plan().name(),
                figures.get("requests"),
                100 * figures.get("served"),
                100 * figures.get("refused"),
                100 * figures.get("failed"),
                100 * (figures.get("unanswered") + figures.get("unsent"))));
        text.append(String.format(
                Locale.ROOT,
                "  from when due, ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f; within " + "aim %.2f%%%n",
                figures.get("p50_ms"),
                figures.get("p90_ms"),
                figures.get("p99_ms"),
                figures.get("max_ms"),
                100 * figures.get("in_aim")));
        text.append(String.format(
                Locale.ROOT,
                "  attempts a request %.2f; given up to answered, ms: p50 %.1f, p99 "
                        + "%.1f%n  proxies: %.3f CPU ms a request, %.0f MB at most%n",
                figures.get("attempts"),
                figures.get("give_up_p50_ms"),
                figures.get("give_up_p99_ms"),
                figures.get("proxy_cpu_ms_per_request"),
                figures.get("proxy_rss_mb_most")));
        text.append("  audit: ").append(result.verdict().summary()).append('\n');
        result.verdict().breaches().stream()
                .limit(5)
                .forEach(breach -> text.append("    ").append(breach).append('\n'));
        result.thresholds().forEach(check -> text.append("  bar ").append(check).append('\n'));
        if (!result.load().valid()) {
            text.append(String.format(
                    Locale.ROOT,
                    "  INVALID: the generator itself was late, p99 %.1f ms: give it " + "more CPU or less load%n",
                    figures.get("lag_p99_ms")));
        }
        return text.toString();
    }

    private static String html(ExperimentResult result) {
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                .append(escape(result.plan().name()))
                .append("</title><style>body{font:15px sans-serif;max-width:"
                        + "1000px;margin:2em auto}td,th{padding:2px 10px;text-align:right}td:first-child{"
                        + "text-align:left}.bad{color:#b00020;font-weight:bold}"
                        + "svg{width:100%;height:auto}</style>"
                        + "<h1>")
                .append(escape(result.plan().name()))
                .append("</h1><p>")
                .append(escape(result.plan().about()))
                .append("</p>");
        page.append("<p")
                .append(result.status() == 0 ? "" : " class=bad")
                .append(">Audit: ")
                .append(escape(result.verdict().summary()))
                .append("</p>");
        if (!result.load().valid()) {
            page.append("<p class=bad>The generator itself was late: these figures are not the proxies'.")
                    .append("</p>");
        }
        page.append("<ul>");
        result.thresholds().forEach(check -> page.append("<li")
                .append(check.held() ? ">" : " class=bad>")
                .append(escape(check.toString())));
        page.append("</ul>");
        LoadResult load = result.load();
        page.append(Plots.latencyByTime(load, result.timelineEvents()))
                .append(Plots.percentiles(load))
                .append(Plots.outcomes(load, result.timelineEvents()))
                .append(Plots.nodes(result))
                .append(Plots.cpu(result))
                .append(Plots.threads(result))
                .append(Plots.memory(result));
        page.append("<h2>Events</h2><table>");
        result.timelineEvents()
                .forEach(event -> page.append(
                        String.format(Locale.ROOT, "<tr><td>%.2f s<td>%s", event.timeS(), escape(event.text()))));
        page.append("</table><h2>Figures</h2><table>");
        new java.util.TreeMap<>(result.figures()).forEach((name, value) -> page.append("<tr><td>")
                .append(escape(name))
                .append("<td>")
                .append(String.format(Locale.ROOT, "%.4g", value)));
        page.append("</table>");
        if (!result.verdict().breaches().isEmpty()) {
            page.append("<h2>Breaches</h2><ul class=bad>");
            result.verdict().breaches().stream().limit(MAX_BREACHES_SHOWN).forEach(breach -> page.append("<li>")
                    .append(escape(breach.toString())));
            page.append("</ul>");
        }
        return page.append('\n').toString();
    }

    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
