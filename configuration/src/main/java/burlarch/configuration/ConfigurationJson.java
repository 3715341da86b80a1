package burlarch.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
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
 * Reads and writes configurations as JSON with one strictly configured mapper. Numbers keep their precision. Duplicate
 * keys, trailing tokens, coerced scalars and numbers for enum constants are rejected.
 */
final class ConfigurationJson {
    /** Bounds the recursion of the parser and the writer. */
    private static final int MAX_NESTING_DEPTH = 64;
    /**
     * Limit of the tokens of a document. A token occupies up to a hundred bytes of a tree, however short it is. The
     * longest document has a token for every eight of its bytes.
     */
    private static final int MAX_TOKENS = 1 << 20;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build();
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

    /** Parses a document as a tree. */
    static ObjectNode readObject(byte[] json) throws InvalidConfigurationException {
        JsonNode tree;
        try {
            checkTokenCount(json);
            tree = MAPPER.readTree(json);
        } catch (IOException e) {
            throw invalidConfiguration(e);
        }
        if (tree instanceof ObjectNode object) {
            return object;
        }
        throw new InvalidConfigurationException("", "not a JSON object");
    }

    /** Counts tokens without storing them, as the tree would already occupy the memory that the limit protects. */
    private static void checkTokenCount(byte[] json) throws IOException, InvalidConfigurationException {
        if (json.length <= MAX_TOKENS) {
            return;
        }
        try (JsonParser parser = MAPPER.createParser(json)) {
            for (int tokens = 0; parser.nextToken() != null; tokens++) {
                if (tokens == MAX_TOKENS) {
                    throw new InvalidConfigurationException("", "has more than " + MAX_TOKENS + " tokens");
                }
            }
        }
    }

    /** Parses a document as an instance of a type. */
    static <T> T read(byte[] json, Class<T> type) throws InvalidConfigurationException {
        try {
            return requireNotNull(MAPPER.readValue(json, type));
        } catch (IOException e) {
            throw invalidConfiguration(e);
        }
    }

    /** Converts a tree to an instance of a type. */
    static <T> T convert(JsonNode tree, Class<T> type) throws InvalidConfigurationException {
        try {
            return requireNotNull(MAPPER.treeToValue(tree, type));
        } catch (JsonProcessingException e) {
            throw invalidConfiguration(e);
        }
    }

    private static <T> T requireNotNull(T value) throws InvalidConfigurationException {
        if (value == null) {
            throw new InvalidConfigurationException("", "not a JSON object");
        }
        return value;
    }

    /** Returns the tree as UTF-8 JSON without white space. */
    static byte[] write(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new AssertionError("a JSON tree that was read must be writable", e);
        }
    }

    private static InvalidConfigurationException invalidConfiguration(IOException e) {
        if (!(e instanceof JsonProcessingException jsonException)) {
            return new InvalidConfigurationException("", "not JSON: " + e.getMessage());
        }
        String field = e instanceof JsonMappingException mappingException ? fieldPath(mappingException) : "";
        return new InvalidConfigurationException(field, jsonException.getOriginalMessage());
    }

    /** Returns the path of the field at fault, such as {@code routes[0].name}. */
    private static String fieldPath(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference reference : e.getPath()) {
            if (reference.getFieldName() == null) {
                path.append('[').append(reference.getIndex()).append(']');
            } else {
                path.append(path.length() == 0 ? "" : ".").append(reference.getFieldName());
            }
        }
        return path.toString();
    }
}
