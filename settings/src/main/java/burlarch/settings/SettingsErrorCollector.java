package burlarch.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reads settings and collects their errors, so that an operator sees all of them at once. A value with an error is
 * replaced by its default until {@link #throwIfInvalid}. An absent value or a blank text has its default.
 */
public final class SettingsErrorCollector {
    private final List<String> errors = new ArrayList<>();

    /** Reads one value. */
    @FunctionalInterface
    public interface Reading<T> {
        T read() throws SettingsException;
    }

    /** Returns the value that is read; the default if that fails. */
    public <T> T value(T defaultValue, Reading<T> reading) {
        try {
            return reading.read();
        } catch (SettingsException e) {
            errors.add(e.getMessage());
            return defaultValue;
        }
    }

    /** As {@link #value}; returns the default also if the key is absent. */
    public <T> T optional(SettingsSection section, String key, T defaultValue, Reading<T> reading) {
        return section.isBlank(key) ? defaultValue : value(defaultValue, reading);
    }

    /** As {@link #value}; an absent key is an error. */
    public <T> T required(SettingsSection section, String key, T defaultValue, Reading<T> reading) {
        if (section.isBlank(key)) {
            add(section.invalid(key, "is missing"));
            return defaultValue;
        }
        return value(defaultValue, reading);
    }

    /** Returns the value, and records an error if it does not satisfy the predicate; an absent value does. */
    public <T> T valid(SettingsSection section, String key, T value, Predicate<T> isValid, String reason) {
        if (value != null && !isValid.test(value)) {
            add(section.invalid(key, reason));
        }
        return value;
    }

    /** Records an error that the caller found. */
    public void add(SettingsException error) {
        errors.add(error.getMessage());
    }

    /** Throws every recorded error together, one a line; to be called at the end. */
    public void throwIfInvalid() throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(String.join("\n", errors));
        }
    }
}
