package burlarch.proxy.trace;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import java.nio.file.Path;

/** The recording of requests; {@code file} is null where it is off. */
public record TraceSettings(Path file, long mostBytes) {
    public static TraceSettings read(SettingsSection section) throws SettingsException {
        return new TraceSettings(section.path("file"), (long) section.integer("max_mb", 64, 1, 4096) << 20);
    }

    public static TraceSettings off() {
        return new TraceSettings(null, 0);
    }
}
