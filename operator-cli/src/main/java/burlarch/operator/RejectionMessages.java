package burlarch.operator;

import burlarch.configuration.InvalidConfigurationException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The reasons of a rejection as text for the operator, one per line. */
final class RejectionMessages {
    private static final int OTHER_VERSION = 412;

    private RejectionMessages() {}

    /** The reasons in a response's body; the given text if it has none. */
    static String reasons(byte[] body, String otherwise) {
        List<String> lines = new ArrayList<>();
        try {
            JsonNode json = new ObjectMapper().readTree(body);
            if (json.hasNonNull("error")) {
                lines.add(json.path("error").asText());
            }
            for (JsonNode problem : json.path("problems")) {
                lines.add(line(
                        problem.path("field").asText(), problem.path("reason").asText()));
            }
        } catch (IOException notJson) {
            return otherwise;
        }
        return lines.isEmpty() ? otherwise : String.join(System.lineSeparator(), lines);
    }

    private static String line(String field, String reason) {
        return field.isEmpty() ? reason : field + ": " + reason;
    }

    /** The failure that a response without success means. */
    static CommandFailure toFailure(ControlClient.Response answer) {
        String reasons = reasons(answer.body(), "status " + answer.status());
        return answer.status() == OTHER_VERSION
                ? new CommandFailure(CommandFailure.VERSION_CONFLICT, "another version is in place: " + reasons)
                : new CommandFailure(CommandFailure.INVALID, reasons);
    }

    /** The failure that a local check found. */
    static CommandFailure toFailure(InvalidConfigurationException invalid) {
        List<String> lines = new ArrayList<>();
        invalid.problems().forEach(problem -> lines.add(line(problem.field(), problem.reason())));
        return new CommandFailure(CommandFailure.INVALID, String.join(System.lineSeparator(), lines));
    }
}
