package burlarch.proxy.multiget;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.net.InetSocketAddress;

/** The multi-get port; {@code listen} is null where the port is off. */
public record MultiGetSettings(InetSocketAddress listen, int maxKeys) {
    /** What fits a body of 64 KiB with ids and keys as they are in practice. */
    private static final int KEYS_MOST = 1024;

    public static MultiGetSettings read(SettingsSection section) throws SettingsException {
        return new MultiGetSettings(section.address("listen"), section.integer("max_keys", 32, 1, KEYS_MOST));
    }
}
