package burlarch.lab.report;

import burlarch.lab.experiment.ExperimentResult;
import burlarch.lab.experiment.ResourceSampler;
import burlarch.lab.load.LoadResult;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Renders the plots of a run as SVG for the HTML report. If a plot cannot be drawn on this machine, the report
 * says so instead.
 */
final class Plots {
    private static final int MAX_NODES_DRAWN = 16;
    private static final int MAX_EVENTS_DRAWN = 30;

    private Plots() {}

    private static XYChart chart(String title, String xTitle, String yTitle) {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(1000)
                .height(320)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
        chart.getStyler().setMarkerSize(0);
        return chart;
    }

    private static void addLine(XYChart chart, String name, List<Double> x, List<Double> y) {
        if (!x.isEmpty()) {
            XYSeries series = chart.addSeries(name, x, y);
            series.setMarker(SeriesMarkers.NONE);
        }
    }

    /** Draws events as vertical lines from the bottom to the given height. */
    private static void addEventLines(
            XYChart chart, List<ExperimentResult.TimelineEvent> timelineEvents, double height) {
        int eventNumber = 0;
        for (ExperimentResult.TimelineEvent event : timelineEvents) {
            if (eventNumber++ < MAX_EVENTS_DRAWN) {
                XYSeries series = chart.addSeries(
                        "event " + eventNumber,
                        new double[] {event.timeS(), event.timeS()},
                        new double[] {0, Math.max(height, 1e-3)});
                series.setMarker(SeriesMarkers.NONE)
                        .setLineColor(new java.awt.Color(120, 120, 120, 120))
                        .setLineWidth(1)
                        .setShowInLegend(false);
            }
        }
    }

    private static String svg(java.util.function.Supplier<XYChart> chartSupplier) {
        try {
            XYChart chart = chartSupplier.get();
            if (chart.getSeriesMap().isEmpty()) {
                return "";
            }
            ByteArrayOutputStream buffer = new ByteArrayOutputStream();
            VectorGraphicsEncoder.saveVectorGraphic(chart, buffer, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            String text = buffer.toString(StandardCharsets.UTF_8);
            return text.substring(text.indexOf("<svg")) + "\n";
        } catch (IOException | RuntimeException | LinkageError e) {
            // For example a machine without fonts; the rest of the report is still useful.
            return "<p>This plot could not be drawn here: " + Report.escape(e.toString()) + "</p>";
        }
    }

    static String latencyByTime(LoadResult load, List<ExperimentResult.TimelineEvent> timelineEvents) {
        return svg(() -> {
            XYChart chart = chart("Latency from when a request was due", "s", "ms");
            List<Double> timeS = new ArrayList<>();
            List<Double> p50 = new ArrayList<>();
            List<Double> p99 = new ArrayList<>();
            List<Double> max = new ArrayList<>();
            for (LoadResult.SecondFigures second : load.seconds()) {
                timeS.add(second.second() + 0.5);
                p50.add(second.p50Ms());
                p99.add(second.p99Ms());
                max.add(second.maxMs());
            }
            addLine(chart, "p50", timeS, p50);
            addLine(chart, "p99", timeS, p99);
            addLine(chart, "max", timeS, max);
            addEventLines(
                    chart,
                    timelineEvents,
                    max.stream().mapToDouble(Double::doubleValue).max().orElse(1));
            return chart;
        });
    }

    static String percentiles(LoadResult load) {
        return svg(() -> {
            XYChart chart = chart("Latency by percentile", "1 / (1 - percentile)", "ms");
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (double[] point : load.percentiles()) {
                x.add(100 / (100 - point[0]));
                y.add(point[1]);
            }
            chart.getStyler().setXAxisLogarithmic(true);
            addLine(chart, "served", x, y);
            return chart;
        });
    }

    static String outcomes(LoadResult load, List<ExperimentResult.TimelineEvent> timelineEvents) {
        return svg(() -> {
            XYChart chart = chart("What became of requests, by when they were due", "s", "a second");
            List<Double> timeS = new ArrayList<>();
            List<List<Double>> y = List.of(
                    new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
            for (LoadResult.SecondFigures second : load.seconds()) {
                timeS.add(second.second() + 0.5);
                double[] values = {
                    second.served(), second.refused(), second.failed(), second.unanswered(), second.late()
                };
                for (int i = 0; i < values.length; i++) {
                    y.get(i).add(values[i]);
                }
            }
            String[] names = {"served", "refused", "failed", "unanswered", "late"};
            for (int i = 0; i < names.length; i++) {
                addLine(chart, names[i], timeS, y.get(i));
            }
            addEventLines(
                    chart,
                    timelineEvents,
                    y.get(0).stream().mapToDouble(Double::doubleValue).max().orElse(1));
            return chart;
        });
    }

    static String nodes(ExperimentResult result) {
        return svg(() -> {
            XYChart chart = chart("Attempts by node", "s", "a second");
            double maxValue = 1;
            int drawn = 0;
            for (Map.Entry<String, int[]> node : result.nodeLoad().entrySet()) {
                if (drawn++ >= MAX_NODES_DRAWN && !node.getKey().equals("ledger")) {
                    continue;
                }
                List<Double> timeS = new ArrayList<>();
                List<Double> y = new ArrayList<>();
                for (int i = 0; i < node.getValue().length; i++) {
                    timeS.add(i + 0.5);
                    y.add((double) node.getValue()[i]);
                    maxValue = Math.max(maxValue, node.getValue()[i]);
                }
                addLine(chart, node.getKey(), timeS, y);
            }
            addEventLines(chart, result.timelineEvents(), maxValue);
            return chart;
        });
    }

    static String cpu(ExperimentResult result) {
        return svg(() -> usage(result, "CPU of each proxy", "cores", true));
    }

    /** Plots the CPU use of the first proxy by thread group. */
    static String threads(ExperimentResult result) {
        return svg(() -> {
            XYChart chart = chart("CPU of the first proxy by what its threads are for", "s", "cores");
            List<ResourceSampler.Sample> samples =
                    result.usage().values().stream().findFirst().orElse(List.of());
            java.util.Set<String> groups = new java.util.TreeSet<>();
            samples.forEach(sample -> groups.addAll(sample.byThread().keySet()));
            for (String group : groups) {
                addLine(
                        chart,
                        group,
                        samples.stream().map(ResourceSampler.Sample::timeS).toList(),
                        samples.stream()
                                .map(sample -> sample.byThread().getOrDefault(group, 0.0))
                                .toList());
            }
            return chart;
        });
    }

    static String memory(ExperimentResult result) {
        return svg(() -> usage(result, "Resident memory of each proxy", "MB", false));
    }

    private static XYChart usage(ExperimentResult result, String title, String unit, boolean cpu) {
        XYChart chart = chart(title, "s", unit);
        double[] maxValue = {1e-3};
        result.usage().forEach((name, samples) -> {
            List<Double> timeS = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            samples.forEach(sample -> {
                timeS.add(sample.timeS());
                y.add(cpu ? sample.cpuShare() : sample.rssMb());
                maxValue[0] = Math.max(maxValue[0], cpu ? sample.cpuShare() : sample.rssMb());
            });
            addLine(chart, name, timeS, y);
        });
        if (!result.usage().isEmpty()) {
            addEventLines(chart, result.timelineEvents(), maxValue[0]);
        }
        return chart;
    }
}
