package burlarch.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A validated configuration together with the JSON document that the operator sent. Unknown fields, the order of fields
 * and the precision of numbers are retained, because operators compare what they read back with what they sent.
 * Immutable.
 */
public final class ConfigurationDocument {
    static final String VERSION_FIELD = "config_version";
    private static final String WARM_UP_DOCUMENT =
            """
            {"config_version": 1, "routes": [{"name": "r", "hostname": "h", "path_prefix": "/",
            "route_type": "streaming", "timeout_ms": 1, "traffic_split": [{"service": "s", "weight": 1}]}],
            "services": [{"name": "s", "engine": {"models": [{"name": "m"}]}}], "limits": {},
            "tenants": [{"name": "t", "api_keys": ["k"]}]}""";

    private final byte[] json;
    private final Configuration configuration;
    private final String digest;

    private ConfigurationDocument(byte[] json, Configuration configuration, String digest) {
        this.json = json;
        this.configuration = configuration;
        this.digest = digest;
    }

    /**
     * Parses and validates a complete configuration. The version is not compared with the one in force; see
     * {@link #supersedes}.
     *
     * @throws InvalidConfigurationException if the document cannot be read or is invalid; lists every problem found
     */
    public static ConfigurationDocument parse(byte[] json) throws InvalidConfigurationException {
        return of(ConfigurationJson.readObject(json));
    }

    /** Validates a complete configuration. Retains no reference to the tree. */
    static ConfigurationDocument of(ObjectNode tree) throws InvalidConfigurationException {
        checkVersion(tree);
        byte[] json = ConfigurationJson.write(tree);
        requireNoProblems(ConstraintValidator.check(ConfigurationJson.convert(tree, ConfigurationConstraints.class)));
        Configuration configuration = ConfigurationJson.convert(tree, Configuration.class);
        requireNoProblems(CrossReferenceValidator.check(configuration));
        return new ConfigurationDocument(json, configuration, CanonicalDigest.of(tree));
    }

    /** Checks the version in the tree, because the conversion to a long would drop a fraction. */
    static void checkVersion(JsonNode tree) throws InvalidConfigurationException {
        JsonNode version = tree.path(VERSION_FIELD);
        if (!version.canConvertToExactIntegral() || !version.canConvertToLong() || version.longValue() < 1) {
            throw new InvalidConfigurationException(VERSION_FIELD, "must be a whole number from 1");
        }
    }

    private static void requireNoProblems(List<ConfigurationProblem> problems) throws InvalidConfigurationException {
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
    }

    /**
     * Parses a configuration that a controller has already validated. Does not load the validator.
     *
     * @throws InvalidConfigurationException if the document cannot be read completely
     */
    public static Configuration parseTrusted(byte[] json) throws InvalidConfigurationException {
        return ConfigurationJson.read(json, Configuration.class);
    }

    /** Validates a small document, so that the first validation of a real one does not wait for class loading. */
    public static void warmUpValidation() {
        try {
            parse(WARM_UP_DOCUMENT.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidConfigurationException e) {
            throw new AssertionError("the warm-up document must be valid", e);
        }
    }

    /** Returns a copy of the document as sent, without white space, in UTF-8. */
    public byte[] json() {
        return json.clone();
    }

    public Configuration configuration() {
        return configuration;
    }

    public long version() {
        return configuration.version();
    }

    /** Returns the digest of the document, which does not depend on the order of fields or the format of numbers. */
    public String digest() {
        return digest;
    }

    /**
     * Returns whether this document may replace the configuration in force: its version must be higher.
     *
     * @param currentVersion the version in force, 0 if there is none
     */
    public boolean supersedes(long currentVersion) {
        return version() > currentVersion;
    }
}
