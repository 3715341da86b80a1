package burlarch.emulator.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a soak.
 *
 * @param seed of the plan
 * @param routers number of routers
 * @param steps the plan
 * @param requests what the clients saw
 * @param violations what was wrong
 */
record SoakReport(
        long seed,
        int routers,
        List<SoakPlan.Step> steps,
        List<SoakRequest> requests,
        List<SoakViolations.Violation> violations) {
    /** Writes the steps, the violations and the counts of requests as JSON lines. */
    void write(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(file))) {
            record.println(mapper.writeValueAsString(Map.of("seed", seed, "routers", routers)));
            for (SoakPlan.Step step : steps) {
                record.println(mapper.writeValueAsString(Map.of("step", step)));
            }
            for (SoakViolations.Violation violation : violations) {
                record.println(mapper.writeValueAsString(Map.of("violation", violation)));
            }
            record.println(mapper.writeValueAsString(Map.of("requests", counts())));
        }
    }

    /** Counts the requests by kind and end. */
    private Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        for (SoakRequest request : requests) {
            boolean answered = request.end() == SoakRequest.End.ANSWERED;
            String end = answered
                    ? Integer.toString(request.status())
                    : request.end().name();
            counts.merge(request.kind() + " " + end, 1, Integer::sum);
        }
        return counts;
    }

    /** Prints one line, and one more for each violation. */
    void print(PrintStream output) {
        output.printf(
                Locale.ROOT,
                "seed %d: %d routers, %d steps, %d requests, %d violations%n",
                seed,
                routers,
                steps.size(),
                requests.size(),
                violations.size());
        for (SoakViolations.Violation violation : violations) {
            output.printf(
                    Locale.ROOT,
                    "  %-8s %7.3f s  %s: %s%n",
                    violation.rule(),
                    violation.seconds(),
                    violation.subject(),
                    violation.detail());
        }
    }
}
