package burlarch.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A valid configuration together with the document that the operator sent: fields that are not known here,
 * their order and the form of numbers are kept, since the operator compares what it reads back. Immutable.
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
     * Reads and checks a whole configuration. Whether its version may follow the one in force is
     * {@link #supersedes}.
     */
    public static ConfigurationDocument parse(byte[] json) throws InvalidConfigurationException {
        return of(ConfigurationJson.readObject(json));
    }

    /** Checks a whole configuration. The tree is not kept. */
    static ConfigurationDocument of(ObjectNode tree) throws InvalidConfigurationException {
        checkVersion(tree);
        byte[] json = ConfigurationJson.write(tree);
        refuse(ConstraintValidator.check(ConfigurationJson.convert(tree, ConfigurationConstraints.class)));
        Configuration configuration = ConfigurationJson.convert(tree, Configuration.class);
        refuse(CrossReferenceValidator.check(configuration));
        return new ConfigurationDocument(json, configuration, CanonicalDigest.of(tree));
    }

    /** Versions are whole numbers: none may lose its fraction while it is read. */
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
     * Reads a configuration that a controller has checked. Cheap: no check starts.
     *
     * @throws InvalidConfigurationException if it can't be read whole
     */
    public static Configuration parseTrusted(byte[] json) throws InvalidConfigurationException {
        return ConfigurationJson.read(json, Configuration.class);
    }

    /** Reads a small example, so that classes load and the validator starts: for an idle moment. */
    public static void warmUpValidation() {
        try {
            parse(EXAMPLE.getBytes(StandardCharsets.UTF_8));
        } catch (InvalidConfigurationException e) {
            throw new AssertionError("the example is valid", e);
        }
    }

    /** The document as sent, but for white space: the caller's own copy. */
    public byte[] json() {
        return json.clone();
    }

    public Configuration configuration() {
        return configuration;
    }

    public long version() {
        return configuration.version();
    }

    /** SHA-256 in hexadecimal digits, the same for documents that differ in the order of fields only. */
    public String digest() {
        return digest;
    }

    /** Whether the version is above the current one (0 if there is none): else the change is invalid. */
    public boolean supersedes(long currentVersion) {
        return version() > currentVersion;
    }
}
