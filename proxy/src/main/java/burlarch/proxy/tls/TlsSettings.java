package burlarch.proxy.tls;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the TLS port.
 *
 * @param listen address of the port; null if it is disabled
 * @param certFile PEM file with the certificate chain
 * @param keyFile PEM file with the private key
 * @param minVersion lowest TLS version, 1.2 or 1.3
 * @param clientCa PEM file with the authorities of client certificates; null if none are requested
 * @param checkIntervalSeconds interval between two checks of the files for changes
 */
public record TlsSettings(
        InetSocketAddress listen,
        Path certFile,
        Path keyFile,
        String minVersion,
        Path clientCa,
        int checkIntervalSeconds) {
    private static final int SECONDS_PER_DAY = 86_400;

    /**
     * Reads the settings of the TLS port.
     *
     * @throws SettingsException if a key is missing or its value is invalid
     */
    public static TlsSettings read(SettingsSection section) throws SettingsException {
        TlsSettings settings = new TlsSettings(
                section.address("listen"),
                section.path("cert_file"),
                section.path("key_file"),
                section.text("min_version", "1.2", List.of("1.2", "1.3")),
                section.path("client_ca"),
                section.integer("check_s", 30, 1, SECONDS_PER_DAY));
        if (settings.listen != null && settings.certFile == null) {
            throw section.invalid("cert_file", "is missing");
        }
        if (settings.listen != null && settings.keyFile == null) {
            throw section.invalid("key_file", "is missing");
        }
        return settings;
    }
}
