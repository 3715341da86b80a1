package burlarch.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reads a file to its end before it complains: what is wrong is noted and a default stands in for it, so that
 * all mistakes are told at once. What is absent or an empty text has its default.
 */
public final class SettingsErrorCollector {
    private final List<String> mistakes = new ArrayList<>();

    /** Reads one value. */
    @FunctionalInterface
    public interface Reading<T> {
        T read() throws SettingsException;
    }

    /** The value that is read, or {@code otherwise} where that fails. */
    public <T> T value(T otherwise, Reading<T> reading) {
        try {
            return reading.read();
        } catch (SettingsException e) {
            mistakes.add(e.getMessage());
            return otherwise;
        }
    }

    /** As {@link #value}; {@code otherwise} also where nothing stands under the key. */
    public <T> T optional(SettingsSection section, String key, T otherwise, Reading<T> reading) {
        return section.isBlank(key) ? otherwise : value(otherwise, reading);
    }

    /** As {@link #value}; that nothing stands under the key is a mistake. */
    public <T> T required(SettingsSection section, String key, T otherwise, Reading<T> reading) {
        if (section.isBlank(key)) {
            add(section.invalid(key, "is missing"));
            return otherwise;
        }
        return value(otherwise, reading);
    }

    /** Notes the value as a mistake where it does not hold; what is absent holds. */
    public <T> T valid(SettingsSection section, String key, T value, Predicate<T> holds, String what) {
        if (value != null && !holds.test(value)) {
            add(section.invalid(key, what));
        }
        return value;
    }

    /** Notes a mistake that the caller found. */
    public void add(SettingsException mistake) {
        mistakes.add(mistake.getMessage());
    }

    /** To be called at the end: throws all mistakes together, one a line. */
    public void throwIfInvalid() throws SettingsException {
        if (!mistakes.isEmpty()) {
            throw new SettingsException(String.join("\n", mistakes));
        }
    }
}
