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
 * Compares the repeats of one experiment with those of another: the ratio of the means of each figure, and
 * whether the difference is more than the repeats differ among themselves.
 */
public final class Compare {
    /** Fewer repeats tell nothing of the spread. */
    private static final int REPEATS_LEAST = 2;

    private Compare() {}

    /** Means and spreads of one figure over two sets of repeats. */
    public record Line(
            String figure,
            double before,
            double after,
            double leastBefore,
            double mostBefore,
            double leastAfter,
            double mostAfter,
            boolean enough) {
        /** NaN where there is nothing to divide by. */
        public double ratio() {
            return before == 0 ? after == 0 ? 1 : Double.NaN : after / before;
        }

        /** Whether the ranges of the repeats overlap: then nothing is shown. */
        public boolean withinSpread() {
            return !enough || leastAfter <= mostBefore && leastBefore <= mostAfter;
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%-28s %12.4g [%.4g..%.4g] %12.4g [%.4g..%.4g]  x%-8.3f %s",
                    figure,
                    before,
                    leastBefore,
                    mostBefore,
                    after,
                    leastAfter,
                    mostAfter,
                    ratio(),
                    !enough ? "too few repeats to tell" : withinSpread() ? "within the spread" : "DIFFERS");
        }
    }

    /**
     * @param before a folder that an experiment wrote, with or without repeats in it
     * @throws IOException where one has no summary
     */
    public static List<Line> of(Path before, Path after) throws IOException {
        List<Map<String, Double>> first = runs(before);
        List<Map<String, Double>> second = runs(after);
        List<Line> lines = new ArrayList<>();
        for (String figure : first.get(0).keySet()) {
            double[] a = values(first, figure);
            double[] b = values(second, figure);
            if (a.length > 0 && b.length > 0) {
                lines.add(new Line(
                        figure,
                        mean(a),
                        mean(b),
                        least(a),
                        most(a),
                        least(b),
                        most(b),
                        a.length >= REPEATS_LEAST && b.length >= REPEATS_LEAST));
            }
        }
        return lines;
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

    private static double least(double[] values) {
        return java.util.Arrays.stream(values).min().orElse(Double.NaN);
    }

    private static double most(double[] values) {
        return java.util.Arrays.stream(values).max().orElse(Double.NaN);
    }

    private static List<Map<String, Double>> runs(Path folder) throws IOException {
        List<Map<String, Double>> runs = new ArrayList<>();
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": no such folder");
        }
        try (Stream<Path> files = Files.walk(folder, 2)) {
            for (Path file : files.filter(f -> f.getFileName().toString().equals("summary.json"))
                    .sorted()
                    .toList()) {
                runs.add(figures(file));
            }
        }
        if (runs.isEmpty()) {
            throw new IOException(folder + ": holds no summary.json: was it written by " + "'burlarch experiment'?");
        }
        return runs;
    }

    private static Map<String, Double> figures(Path file) throws IOException {
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
