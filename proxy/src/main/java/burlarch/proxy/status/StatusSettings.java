package burlarch.proxy.status;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/**
 * Settings of the status page.
 *
 * @param port port of the page; null if it is disabled
 * @param refreshMs interval between two snapshots
 */
public record StatusSettings(Integer port, int refreshMs) {
    private static final int MAX_REFRESH_MS = 3_600_000;

    /**
     * Reads the {@code status} section.
     *
     * @throws SettingsException if a value is invalid
     */
    public static StatusSettings read(SettingsSection section) throws SettingsException {
        return new StatusSettings(
                section.port("listen_port"), section.integer("refresh_ms", 1000, 100, MAX_REFRESH_MS));
    }
}
