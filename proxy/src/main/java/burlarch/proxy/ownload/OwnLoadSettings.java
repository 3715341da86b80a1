package burlarch.proxy.ownload;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/**
 * Settings of the admission control against the proxy's own overload.
 *
 * @param on whether requests are refused while the event loop is behind
 */
public record OwnLoadSettings(boolean on) {
    /**
     * Reads the {@code own_load} section.
     *
     * @throws SettingsException if a value is invalid
     */
    public static OwnLoadSettings read(SettingsSection section) throws SettingsException {
        return new OwnLoadSettings(section.flag("on", false));
    }
}
