package burlarch.proxy.ownload;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;

/** Whether a proxy turns requests away when its own loop is behind. */
public record OwnLoadSettings(boolean on) {
    public static OwnLoadSettings read(SettingsSection section) throws SettingsException {
        return new OwnLoadSettings(section.flag("on", false));
    }
}
