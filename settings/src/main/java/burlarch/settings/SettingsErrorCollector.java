package burlarch.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reads settings and collects their errors, so that an operator sees all of them at once. An invalid value is replaced
 * by its default until {@link #throwIfInvalid} is called. An absent key or a blank text has its default.
 */
public final class SettingsErrorCollector {
    private final List<String> errors = new ArrayList<>();

    /** Reads one value; throws if it is invalid. */
    @FunctionalInterface
    public interface ValueReader<T> {
        T read() throws SettingsException;
    }

    /** Returns the value that {@code reader} reads; on failure records the error and returns the default. */
    public <T> T value(T defaultValue, ValueReader<T> reader) {
        try {
            return reader.read();
        } catch (SettingsException e) {
            errors.add(e.getMessage());
            return defaultValue;
        }
    }

    /** Like {@link #value}, but returns the default without reading if the key is absent or blank. */
    public <T> T optional(SettingsSection section, String key, T defaultValue, ValueReader<T> reader) {
        return section.isBlank(key) ? defaultValue : value(defaultValue, reader);
    }

    /** Like {@link #value}, but records an error if the key is absent or blank. */
    public <T> T required(SettingsSection section, String key, T defaultValue, ValueReader<T> reader) {
        if (section.isBlank(key)) {
            add(section.invalid(key, "is missing"));
            return defaultValue;
        }
        return value(defaultValue, reader);
    }

    /**
     * Returns the value, and records an error if it does not satisfy the predicate. A null value is not checked.
     *
     * @param reason predicate of the error message, such as {@code "must be empty"}
     */
    public <T> T valid(SettingsSection section, String key, T value, Predicate<T> isValid, String reason) {
        if (value != null && !isValid.test(value)) {
            add(section.invalid(key, reason));
        }
        return value;
    }

    /** Records an error found by the caller. */
    public void add(SettingsException error) {
        errors.add(error.getMessage());
    }

    /** Throws one exception with every recorded error, one per line. To be called after all values are read. */
    public void throwIfInvalid() throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(String.join("\n", errors));
        }
    }
}
