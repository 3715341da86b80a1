package burlarch.operator;

import burlarch.configuration.InvalidConfigurationException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Converts the problems of a rejected configuration to messages for the operator, one problem per line. */
final class RejectionMessages {
    private static final int PRECONDITION_FAILED = 412;

    private RejectionMessages() {}

    /** Returns the error and the problems in the JSON body of a response, or the fallback if the body has none. */
    static String reasons(byte[] body, String fallback) {
        List<String> lines = new ArrayList<>();
        try {
            JsonNode json = new ObjectMapper().readTree(body);
            if (json.hasNonNull("error")) {
                lines.add(json.path("error").asText());
            }
            for (JsonNode problem : json.path("problems")) {
                lines.add(formatProblem(
                        problem.path("field").asText(), problem.path("reason").asText()));
            }
        } catch (IOException e) {
            return fallback;
        }
        return lines.isEmpty() ? fallback : String.join(System.lineSeparator(), lines);
    }

    private static String formatProblem(String field, String reason) {
        return field.isEmpty() ? reason : field + ": " + reason;
    }

    /** Returns the failure for an unsuccessful response. Every status other than 412 counts as invalid. */
    static CommandException toException(ControlClient.Response response) {
        String reasons = reasons(response.body(), "status " + response.status());
        return response.status() == PRECONDITION_FAILED
                ? new CommandException(CommandException.VERSION_CONFLICT, "another version is in place: " + reasons)
                : new CommandException(CommandException.INVALID_CONFIGURATION, reasons);
    }

    /** Returns the failure for a configuration or patch that the local check found to be invalid. */
    static CommandException toException(InvalidConfigurationException exception) {
        List<String> lines = new ArrayList<>();
        exception.problems().forEach(problem -> lines.add(formatProblem(problem.field(), problem.reason())));
        return new CommandException(CommandException.INVALID_CONFIGURATION, String.join(System.lineSeparator(), lines));
    }
}
