package burlarch.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads and writes configurations as JSON. Nothing is lost: numbers keep their precision. Nothing ambiguous is
 * accepted: duplicate keys, trailing tokens and coerced scalars are rejected.
 */
final class ConfigurationJson {
    /** Bounds the stack depth of reading and writing. */
    private static final int MAX_DEPTH = 64;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();
    private static final JsonMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(CONSTRAINTS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
            .build();

    private ConfigurationJson() {}

    static ObjectNode readObject(byte[] json) throws InvalidConfigurationException {
        JsonNode tree;
        try {
            tree = MAPPER.readTree(json);
        } catch (IOException e) {
            throw unreadable(e);
        }
        if (tree instanceof ObjectNode object) {
            return object;
        }
        throw new InvalidConfigurationException("", "not a JSON object");
    }

    static <T> T read(byte[] json, Class<T> type) throws InvalidConfigurationException {
        try {
            return requireNotNull(MAPPER.readValue(json, type));
        } catch (IOException e) {
            throw unreadable(e);
        }
    }

    static <T> T convert(JsonNode tree, Class<T> type) throws InvalidConfigurationException {
        try {
            return requireNotNull(MAPPER.treeToValue(tree, type));
        } catch (JsonProcessingException e) {
            throw unreadable(e);
        }
    }

    private static <T> T requireNotNull(T value) throws InvalidConfigurationException {
        if (value == null) {
            throw new InvalidConfigurationException("", "not a JSON object");
        }
        return value;
    }

    /** Writes without white space. */
    static byte[] write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new AssertionError("a tree that was read can be written", e);
        }
    }

    private static InvalidConfigurationException unreadable(IOException e) {
        if (!(e instanceof JsonProcessingException problem)) {
            return new InvalidConfigurationException("", "not JSON: " + e.getMessage());
        }
        String field = e instanceof JsonMappingException mapping ? path(mapping) : "";
        return new InvalidConfigurationException(field, problem.getOriginalMessage());
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference step : e.getPath()) {
            if (step.getFieldName() == null) {
                path.append('[').append(step.getIndex()).append(']');
            } else {
                path.append(path.length() == 0 ? "" : ".").append(step.getFieldName());
            }
        }
        return path.toString();
    }
}
