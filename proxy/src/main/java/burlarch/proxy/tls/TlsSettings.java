package burlarch.proxy.tls;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** The TLS port; {@code listen} is null where it is off, {@code clientCa} where none is asked for. */
public record TlsSettings(
        InetSocketAddress listen, Path certFile, Path keyFile, String minVersion, Path clientCa, int checkSeconds) {
    private static final int DAY_S = 86_400;

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
                section.integer("check_s", 30, 1, DAY_S));
        if (settings.listen != null && settings.certFile == null) {
            throw section.invalid("cert_file", "is missing");
        }
        if (settings.listen != null && settings.keyFile == null) {
            throw section.invalid("key_file", "is missing");
        }
        return settings;
    }
}
