package burlarch.proxy;

import burlarch.settings.LiteralAddresses;
import burlarch.wire.Json;
import burlarch.wire.SimulatorAdapter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Deployment configuration of one proxy, read from the JSON file that EDGE_CONFIG names.
 *
 * @param listen address of the plain port
 * @param discovery address of the discovery service
 * @param seed seed of the policy's random numbers
 * @param sockets file descriptors granted by the platform
 * @param known the servers known at startup, as a list in discovery's format
 * @param settings settings of the decision policy
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Json known,
        Json settings) {
    /** Minimum number of file descriptors granted by the platform; the default for {@code sockets}. */
    static final int MIN_SOCKETS = 256;

    /** The configuration is missing or invalid; the message is meant for the operator. */
    static final class ConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        ConfigException(String message) {
            super(message);
        }
    }

    /**
     * Reads the file named by EDGE_CONFIG. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY supply fields that the file
     * lacks.
     *
     * @throws ConfigException if the file cannot be read, or a field is missing or invalid
     */
    static ProxyConfig load(Map<String, String> environment) throws ConfigException {
        String file = environment.get("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("EDGE_CONFIG is not set");
        }
        Json json;
        try {
            json = Json.parse(Files.readAllBytes(Path.of(file)));
        } catch (NoSuchFileException e) {
            throw new ConfigException(file + ": no such file");
        } catch (IOException | RuntimeException e) {
            throw new ConfigException(file + ": " + firstLine(e));
        }
        Json settings = json.get("settings");
        if (!settings.isObject() || settings.get("request_classes").items().isEmpty()) {
            throw new ConfigException(file + ": settings with a non-empty list request_classes are missing");
        }
        return new ProxyConfig(
                json.get("name").text(environment.getOrDefault("EDGE_NAME", "proxy")),
                address(file, json, "listen", environment.get("EDGE_LISTEN")),
                address(file, json, "discovery", environment.get("EDGE_DISCOVERY")),
                SimulatorAdapter.digest(json.get("seed").text("")),
                (int) json.get("limits").get("sockets").integer(MIN_SOCKETS),
                json.get("known"),
                settings);
    }

    private static InetSocketAddress address(String file, Json json, String field, String defaultText)
            throws ConfigException {
        String text = json.get(field).text(defaultText);
        if (text == null) {
            throw new ConfigException(file + ": " + field + " is missing");
        }
        try {
            return LiteralAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(file + ": " + field + " must be a literal IP address and a port, not " + text);
        }
    }

    private static String firstLine(Exception e) {
        String text = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        return text.lines().findFirst().orElse("unreadable");
    }
}
