package burlarch.proxy.multiget;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.net.InetSocketAddress;

/**
 * Settings of the multi-get port.
 *
 * @param listen address of the port; null if it is disabled
 * @param maxKeys maximum number of keys in one multi-get
 */
public record MultiGetSettings(InetSocketAddress listen, int maxKeys) {
    /** What fits into a body of 64 KiB with ids and keys of the usual length. */
    private static final int MAX_KEY_COUNT = 1024;

    /**
     * Reads the {@code multiget} section.
     *
     * @throws SettingsException if a value is invalid
     */
    public static MultiGetSettings read(SettingsSection section) throws SettingsException {
        return new MultiGetSettings(section.address("listen"), section.integer("max_keys", 32, 1, MAX_KEY_COUNT));
    }
}
