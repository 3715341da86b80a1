package burlarch.lab.report;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Compares the repeats of one experiment with those of another: the ratio of the means of each figure, and whether
 * the difference exceeds the variation among repeats.
 */
public final class RunComparison {
    /** Fewer repeats give no estimate of the variation. */
    private static final int MIN_REPEATS = 2;

    private RunComparison() {}

    /**
     * Means and ranges of one figure over two sets of repeats.
     *
     * @param enoughRepeats whether both sets have enough repeats to compare their ranges
     */
    public record FigureComparison(
            String figure,
            double before,
            double after,
            double minBefore,
            double maxBefore,
            double minAfter,
            double maxAfter,
            boolean enoughRepeats) {
        /** Ratio of the means; NaN if only the first is 0. */
        public double ratio() {
            return before == 0 ? after == 0 ? 1 : Double.NaN : after / before;
        }

        /** Whether the ranges of the repeats overlap or there are too few repeats: then no difference is shown. */
        public boolean withinSpread() {
            return !enoughRepeats || minAfter <= maxBefore && minBefore <= maxAfter;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%-28s %12.4g [%.4g..%.4g] %12.4g [%.4g..%.4g]  x%-8.3f %s",
                    figure,
                    before,
                    minBefore,
                    maxBefore,
                    after,
                    minAfter,
                    maxAfter,
                    ratio(),
                    !enoughRepeats ? "too few repeats to tell" : withinSpread() ? "within the spread" : "DIFFERS");
        }
    }

    /**
     * Compares the runs in two folders.
     *
     * @param before a folder that an experiment wrote, with or without repeats in it
     * @throws IOException if a folder holds no readable summary
     */
    public static List<FigureComparison> of(Path before, Path after) throws IOException {
        List<Map<String, Double>> beforeRuns = readRuns(before);
        List<Map<String, Double>> afterRuns = readRuns(after);
        List<FigureComparison> comparisons = new ArrayList<>();
        for (String figure : beforeRuns.get(0).keySet()) {
            double[] beforeValues = values(beforeRuns, figure);
            double[] afterValues = values(afterRuns, figure);
            if (beforeValues.length > 0 && afterValues.length > 0) {
                comparisons.add(new FigureComparison(
                        figure,
                        mean(beforeValues),
                        mean(afterValues),
                        minimum(beforeValues),
                        maximum(beforeValues),
                        minimum(afterValues),
                        maximum(afterValues),
                        beforeValues.length >= MIN_REPEATS && afterValues.length >= MIN_REPEATS));
            }
        }
        return comparisons;
    }

    private static double[] values(List<Map<String, Double>> runs, String figure) {
        return runs.stream()
                .filter(run -> run.containsKey(figure))
                .mapToDouble(run -> run.get(figure))
                .toArray();
    }

    private static double mean(double[] values) {
        return java.util.Arrays.stream(values).average().orElse(Double.NaN);
    }

    private static double minimum(double[] values) {
        return java.util.Arrays.stream(values).min().orElse(Double.NaN);
    }

    private static double maximum(double[] values) {
        return java.util.Arrays.stream(values).max().orElse(Double.NaN);
    }

    private static List<Map<String, Double>> readRuns(Path folder) throws IOException {
        List<Map<String, Double>> runs = new ArrayList<>();
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": no such folder");
        }
        try (Stream<Path> files = Files.walk(folder, 2)) {
            for (Path file : files.filter(path -> path.getFileName().toString().equals("summary.json"))
                    .sorted()
                    .toList()) {
                runs.add(readFigures(file));
            }
        }
        if (runs.isEmpty()) {
            throw new IOException(folder + ": holds no summary.json: was it written by " + "'burlarch experiment'?");
        }
        return runs;
    }

    private static Map<String, Double> readFigures(Path file) throws IOException {
        Map<String, Double> figures = new TreeMap<>();
        try (JsonParser json = new JsonFactory().createParser(Files.readAllBytes(file))) {
            int depth = 0;
            for (JsonToken token = json.nextToken(); token != null; token = json.nextToken()) {
                if (token == JsonToken.FIELD_NAME
                        && depth == 1
                        && json.currentName().equals("figures")) {
                    json.nextToken();
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        String name = json.currentName();
                        json.nextToken();
                        figures.put(name, json.getDoubleValue());
                    }
                } else if (token.isStructStart()) {
                    depth++;
                } else if (token.isStructEnd()) {
                    depth--;
                }
            }
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IOException(file + ": not a summary: " + e.getOriginalMessage(), e);
        }
        return figures;
    }
}
