package burlarch.lab.report;

import burlarch.audit.Breach;
import burlarch.lab.experiment.Bar;
import burlarch.lab.experiment.Outcome;
import burlarch.lab.load.LoadResult;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/**
 * Writes what a run came to: {@code summary.json} for programs, {@code report.html} with its plots for
 * people.
 */
public final class Report {
    private static final int BREACHES_SHOWN = 20;

    private Report() {}

    public static void write(Outcome outcome, Path folder) throws IOException {
        try (JsonGenerator json =
                new JsonFactory().createGenerator(Files.newBufferedWriter(folder.resolve("summary.json")))) {
            json.useDefaultPrettyPrinter();
            summary(json, outcome);
        }
        Files.writeString(folder.resolve("report.html"), html(outcome));
        Files.writeString(folder.resolve("cpu.tsv"), cpu(outcome));
    }

    /** A line a proxy, sample and group of threads: cores used in the 100 ms before. */
    private static String cpu(Outcome outcome) {
        StringBuilder text = new StringBuilder("proxy\ts\tthreads\tcores\n");
        outcome.usage()
                .forEach((proxy, samples) -> samples.forEach(sample -> sample.byThread()
                        .forEach((group, share) -> text.append(
                                String.format(Locale.ROOT, "%s\t%.3f\t%s\t%.4f%n", proxy, sample.s(), group, share)))));
        return text.toString();
    }

    private static void summary(JsonGenerator json, Outcome outcome) throws IOException {
        json.writeStartObject();
        json.writeStringField("experiment", outcome.plan().name());
        json.writeNumberField("status", outcome.status());
        json.writeStringField("audit", outcome.verdict().summary());
        json.writeObjectFieldStart("figures");
        for (Map.Entry<String, Double> figure : new java.util.TreeMap<>(outcome.figures()).entrySet()) {
            json.writeNumberField(figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("bars");
        for (Bar.Judged bar : outcome.bars()) {
            json.writeString(bar.toString());
        }
        json.writeEndArray();
        json.writeArrayFieldStart("breaches");
        for (Breach breach : outcome.verdict().breaches()) {
            json.writeString(breach.toString());
        }
        json.writeEndArray();
        json.writeArrayFieldStart("events");
        for (Outcome.Mark mark : outcome.marks()) {
            json.writeStartObject();
            json.writeNumberField("s", mark.s());
            json.writeStringField("what", mark.text());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeFieldName("load");
        outcome.load().write(json);
        json.writeEndObject();
    }

    /** The few lines that a terminal shows at the end. */
    public static String text(Outcome outcome) {
        Map<String, Double> f = outcome.figures();
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%s%n  requests %.0f: served %.2f%%, refused %.2f%%, failed %.2f%%, " + "unanswered %.2f%%%n",
                outcome.plan().name(),
                f.get("requests"),
                100 * f.get("served"),
                100 * f.get("refused"),
                100 * f.get("failed"),
                100 * (f.get("unanswered") + f.get("unsent"))));
        text.append(String.format(
                Locale.ROOT,
                "  from when due, ms: p50 %.1f, p90 %.1f, p99 %.1f, max %.1f; within " + "aim %.2f%%%n",
                f.get("p50_ms"),
                f.get("p90_ms"),
                f.get("p99_ms"),
                f.get("max_ms"),
                100 * f.get("in_aim")));
        text.append(String.format(
                Locale.ROOT,
                "  attempts a request %.2f; given up to answered, ms: p50 %.1f, p99 "
                        + "%.1f%n  proxies: %.3f CPU ms a request, %.0f MB at most%n",
                f.get("attempts"),
                f.get("give_up_p50_ms"),
                f.get("give_up_p99_ms"),
                f.get("proxy_cpu_ms_per_request"),
                f.get("proxy_rss_mb_most")));
        text.append("  audit: ").append(outcome.verdict().summary()).append('\n');
        outcome.verdict().breaches().stream()
                .limit(5)
                .forEach(b -> text.append("    ").append(b).append('\n'));
        outcome.bars().forEach(bar -> text.append("  bar ").append(bar).append('\n'));
        if (!outcome.load().valid()) {
            text.append(String.format(
                    Locale.ROOT,
                    "  INVALID: the generator itself was late, p99 %.1f ms: give it " + "more CPU or less load%n",
                    f.get("lag_p99_ms")));
        }
        return text.toString();
    }

    private static String html(Outcome outcome) {
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>")
                .append(escape(outcome.plan().name()))
                .append("</title><style>body{font:15px sans-serif;max-width:"
                        + "1000px;margin:2em auto}td,th{padding:2px 10px;text-align:right}td:first-child{"
                        + "text-align:left}.bad{color:#b00020;font-weight:bold}"
                        + "svg{width:100%;height:auto}</style>"
                        + "<h1>")
                .append(escape(outcome.plan().name()))
                .append("</h1><p>")
                .append(escape(outcome.plan().about()))
                .append("</p>");
        page.append("<p")
                .append(outcome.status() == 0 ? "" : " class=bad")
                .append(">Audit: ")
                .append(escape(outcome.verdict().summary()))
                .append("</p>");
        if (!outcome.load().valid()) {
            page.append("<p class=bad>The generator itself was late: these figures are not the proxies'.")
                    .append("</p>");
        }
        page.append("<ul>");
        outcome.bars().forEach(bar -> page.append("<li")
                .append(bar.held() ? ">" : " class=bad>")
                .append(escape(bar.toString())));
        page.append("</ul>");
        LoadResult load = outcome.load();
        page.append(Plots.latencyByTime(load, outcome.marks()))
                .append(Plots.percentiles(load))
                .append(Plots.outcomes(load, outcome.marks()))
                .append(Plots.nodes(outcome))
                .append(Plots.cpu(outcome))
                .append(Plots.threads(outcome))
                .append(Plots.memory(outcome));
        page.append("<h2>Events</h2><table>");
        outcome.marks()
                .forEach(mark ->
                        page.append(String.format(Locale.ROOT, "<tr><td>%.2f s<td>%s", mark.s(), escape(mark.text()))));
        page.append("</table><h2>Figures</h2><table>");
        new java.util.TreeMap<>(outcome.figures()).forEach((name, value) -> page.append("<tr><td>")
                .append(escape(name))
                .append("<td>")
                .append(String.format(Locale.ROOT, "%.4g", value)));
        page.append("</table>");
        if (!outcome.verdict().breaches().isEmpty()) {
            page.append("<h2>Breaches</h2><ul class=bad>");
            outcome.verdict().breaches().stream().limit(BREACHES_SHOWN).forEach(breach -> page.append("<li>")
                    .append(escape(breach.toString())));
            page.append("</ul>");
        }
        return page.append('\n').toString();
    }

    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
