package burlarch.configuration;

import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;

/**
 * Reads the scenario files in the test resources of this package and applies them to the base document. Uses a JSON
 * mapper that is independent of the module's mapper.
 */
final class Scenarios {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
            .build();

    private Scenarios() {}

    /** Returns the content of a file of this package's test resources. */
    static byte[] readResource(String file) {
        try (InputStream input = Scenarios.class.getResourceAsStream(file)) {
            return input.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<String> readLines(String file) {
        return new String(readResource(file), StandardCharsets.UTF_8).lines().toList();
    }

    static JsonNode parseTree(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a new tree of {@code base.json}, the valid document that scenarios change. */
    static ObjectNode baseDocument() {
        return (ObjectNode) parseTree(readResource("base.json"));
    }

    /** Writes a tree as JSON. Unpaired surrogates remain escape sequences. */
    static byte[] toJson(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the base document, changed as {@code set} and {@code remove} of a scenario say. */
    static ObjectNode changedBaseDocument(JsonNode scenario) {
        ObjectNode changed = baseDocument();
        scenario.path("remove").forEach(pointer -> remove(changed, JsonPointer.compile(pointer.asText())));
        scenario.path("set")
                .properties()
                .forEach(field -> set(changed, JsonPointer.compile(field.getKey()), field.getValue()));
        return changed;
    }

    private static void remove(JsonNode tree, JsonPointer pointer) {
        JsonNode parent = tree.at(pointer.head());
        if (((ObjectNode) parent).remove(pointer.last().getMatchingProperty()) == null) {
            throw new IllegalArgumentException("base document has no field " + pointer);
        }
    }

    private static void set(JsonNode tree, JsonPointer pointer, JsonNode value) {
        JsonNode parent = tree.at(pointer.head());
        if (parent instanceof ArrayNode array) {
            array.set(pointer.last().getMatchingIndex(), value);
        } else {
            ((ObjectNode) parent).set(pointer.last().getMatchingProperty(), value);
        }
    }

    /** Returns the field of the problem that a scenario expects; empty if it expects a valid document. */
    static List<String> expectedProblemFields(JsonNode scenario) {
        return scenario.has("problem") ? List.of(scenario.get("problem").asText()) : List.of();
    }

    /** Returns the fields of the problems that a call reports; empty if it succeeds. */
    static List<String> problemFields(ThrowingCallable call) {
        InvalidConfigurationException thrown = catchThrowableOfType(InvalidConfigurationException.class, call);
        return thrown == null
                ? List.of()
                : thrown.problems().stream().map(ConfigurationProblem::field).toList();
    }
}
