package burlarch.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A valid configuration together with the document that the operator sent. Unknown fields, the order of fields and the
 * form of numbers are retained, since operators compare what they read back with what they sent. Immutable.
 */
public final class ConfigurationDocument {
    static final String VERSION = "config_version";
    private static final String EXAMPLE =
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
     * Parses and validates a complete configuration. Whether its version may follow the one in force is decided by
     * {@link #supersedes}.
     *
     * @throws InvalidConfigurationException if the document cannot be read or breaks a rule; names every problem found
     */
    public static ConfigurationDocument parse(byte[] json) throws InvalidConfigurationException {
        return of(ConfigurationJson.readObject(json));
    }

    /** Validates a complete configuration. The tree is not retained. */
    static ConfigurationDocument of(ObjectNode tree) throws InvalidConfigurationException {
        checkVersion(tree);
        byte[] json = ConfigurationJson.write(tree);
        refuse(ConstraintValidator.check(ConfigurationJson.convert(tree, ConfigurationConstraints.class)));
        Configuration configuration = ConfigurationJson.convert(tree, Configuration.class);
        refuse(CrossReferenceValidator.check(configuration));
        return new ConfigurationDocument(json, configuration, CanonicalDigest.of(tree));
    }

    /** Checks the version before it is read as a long, which would drop a fraction. */
    static void checkVersion(JsonNode tree) throws InvalidConfigurationException {
        JsonNode version = tree.path(VERSION);
        if (!version.canConvertToExactIntegral() || !version.canConvertToLong() || version.longValue() < 1) {
            throw new InvalidConfigurationException(VERSION, "must be a whole number from 1");
        }
    }

    private static void refuse(List<ConfigurationProblem> problems) throws InvalidConfigurationException {
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
    }

    /**
     * Parses a configuration that a controller has validated. Starts no validator.
     *
     * @throws InvalidConfigurationException if it cannot be read completely
     */
    public static Configuration parseTrusted(byte[] json) throws InvalidConfigurationException {
        return ConfigurationJson.read(json, Configuration.class);
    }

    /** Validates a small example, so that the first real validation does not wait for class loading. */
    public static void warmUpValidation() {
        try {
            parse(EXAMPLE.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidConfigurationException e) {
            throw new AssertionError("the example is valid", e);
        }
    }

    /** Returns the document as sent, without white space. The array is the caller's own. */
    public byte[] json() {
        return json.clone();
    }

    public Configuration configuration() {
        return configuration;
    }

    public long version() {
        return configuration.version();
    }

    /** Returns the digest of the document; documents that differ in the order of fields alone have the same. */
    public String digest() {
        return digest;
    }

    /** Returns whether the version is above the current one, 0 if there is none; otherwise the change is invalid. */
    public boolean supersedes(long currentVersion) {
        return version() > currentVersion;
    }
}
