package burlarch.proxy.status;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/** The status page; {@code port} is null where it is off. */
public record StatusSettings(Integer port, int refreshMs) {
    private static final int HOUR_MS = 3_600_000;

    public static StatusSettings read(SettingsSection section) throws SettingsException {
        return new StatusSettings(section.port("listen_port"), section.integer("refresh_ms", 1000, 100, HOUR_MS));
    }
}
