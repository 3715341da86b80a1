package burlarch.controller.api;

import burlarch.configuration.ConfigurationProblem;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Utility functions that read and write the small JSON bodies of the control API. */
final class ControlJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_PROBLEMS = 16;
    private static final int MAX_TEXT_LENGTH = 256;

    private ControlJson() {}

    /**
     * Parses a body as a JSON object.
     *
     * @throws ControlException if the body is not a JSON object
     */
    static JsonNode object(byte[] body) {
        JsonNode tree;
        try {
            tree = MAPPER.readTree(body);
        } catch (IOException malformed) {
            throw new ControlException(ErrorKind.BAD_REQUEST, "", "not JSON");
        }
        if (!tree.isObject()) {
            throw new ControlException(ErrorKind.BAD_REQUEST, "", "not an object");
        }
        return tree;
    }

    /**
     * Returns a required text field.
     *
     * @throws ControlException if it is absent, empty or too long
     */
    static String requiredText(JsonNode object, String field) {
        String text = optionalText(object, field);
        if (text.isEmpty()) {
            throw new ControlException(ErrorKind.INVALID, field, "must be a text");
        }
        return text;
    }

    /**
     * Returns an optional text field, or a number as text; empty if the field is absent.
     *
     * @throws ControlException if it is too long
     */
    static String optionalText(JsonNode object, String field) {
        String text = object.path(field).asText("");
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new ControlException(ErrorKind.INVALID, field, "too long");
        }
        return text;
    }

    /**
     * Returns a required whole number.
     *
     * @throws ControlException if it is absent or not a whole number
     */
    static long wholeNumber(JsonNode object, String field) {
        JsonNode node = object.path(field);
        if (!node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new ControlException(ErrorKind.INVALID, field, "must be a whole number");
        }
        return node.asLong();
    }

    /**
     * Encodes the body of a failure: the code of its kind, and its first {@value #MAX_PROBLEMS} problems with field and
     * reason.
     */
    static byte[] error(ControlException failure) {
        ObjectNode error = MAPPER.createObjectNode().put("error", failure.kind().code());
        ArrayNode problems = error.putArray("problems");
        for (ConfigurationProblem problem : failure.problems()) {
            if (problems.size() < MAX_PROBLEMS) {
                problems.addObject().put("field", truncate(problem.field())).put("reason", truncate(problem.reason()));
            }
        }
        try {
            return MAPPER.writeValueAsBytes(error);
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static String truncate(String text) {
        return text != null && text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text;
    }
}
