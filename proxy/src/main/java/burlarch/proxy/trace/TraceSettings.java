package burlarch.proxy.trace;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.nio.file.Path;

/**
 * Settings of the request recording.
 *
 * @param file the trace file to create; null if recording is disabled
 * @param maxBytes size at which the recording ends
 */
public record TraceSettings(Path file, long maxBytes) {
    /**
     * Reads the {@code trace} section.
     *
     * @throws SettingsException if a value is invalid
     */
    public static TraceSettings read(SettingsSection section) throws SettingsException {
        return new TraceSettings(section.path("file"), (long) section.integer("max_mb", 64, 1, 4096) << 20);
    }

    /** Returns settings with recording disabled. */
    public static TraceSettings off() {
        return new TraceSettings(null, 0);
    }
}
