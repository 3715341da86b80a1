package burlarch.settings;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One table of a settings file, with a typed getter for each kind of value. A getter returns the default if the key is
 * absent. It throws a {@link SettingsException} that names file and key if the value has another type or is out of
 * range.
 */
public final class SettingsSection {
    private static final int MAX_PORT = 65_535;

    private final String file;
    private final String table;
    private final Map<String, Object> values;
    private final Set<String> readKeys = new HashSet<>();

    SettingsSection(String file, String table, Map<String, Object> values) {
        this.file = file;
        this.table = table;
        this.values = values;
    }

    private Object value(String key) {
        readKeys.add(key);
        return values.get(key);
    }

    /** Returns an exception for element key; the message is file, qualified key and {@code problem}. */
    public SettingsException invalid(String key, String problem) {
        return new SettingsException(file + ": " + (table.isEmpty() ? key : table + "." + key) + " " + problem);
    }

    /**
     * Returns an integer; {@code defaultValue} if the key is absent.
     *
     * @throws SettingsException if the value is not an integer from {@code min} to {@code max}
     */
    public int integer(String key, int defaultValue, int min, int max) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            if (number >= min && number <= max) {
                return (int) number;
            }
        }
        throw invalid(key, "must be a whole number from " + min + " to " + max);
    }

    /** Returns a text that must be one of {@code allowedTexts}; {@code defaultValue} if the key is absent. */
    public String text(String key, String defaultValue, List<String> allowedTexts) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text && allowedTexts.contains(text)) {
            return text;
        }
        throw invalid(key, "must be one of \"" + String.join("\", \"", allowedTexts) + "\"");
    }

    /** Returns a text that must not be blank; {@code defaultValue} if the key is absent. */
    public String text(String key, String defaultValue) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        throw invalid(key, "must be a text");
    }

    /** Returns a boolean; {@code defaultValue} if the key is absent. */
    public boolean flag(String key, boolean defaultValue) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(key, "must be true or false");
    }

    /** Returns a list of texts; empty if the key is absent. */
    public List<String> texts(String key) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list && list.stream().allMatch(element -> element instanceof String)) {
            return list.stream().map(String.class::cast).toList();
        }
        throw invalid(key, "must be a list of texts");
    }

    /** Returns all keys of this table with their values, which must be texts, in file order. */
    public Map<String, String> allTexts() throws SettingsException {
        Map<String, String> texts = new LinkedHashMap<>();
        for (Map.Entry<String, Object> entry : values.entrySet()) {
            if (!(value(entry.getKey()) instanceof String text)) {
                throw invalid(entry.getKey(), "must be a text");
            }
            texts.put(entry.getKey(), text);
        }
        return Collections.unmodifiableMap(texts);
    }

    /** Returns a list of integers from {@code min} to {@code max}; empty if the key is absent. */
    public List<Integer> integers(String key, int min, int max) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        List<Integer> numbers = new ArrayList<>();
        for (Object element : value instanceof List<?> list ? list : List.of("")) {
            if (!(element instanceof Integer || element instanceof Long)
                    || ((Number) element).longValue() < min
                    || ((Number) element).longValue() > max) {
                throw invalid(key, "must be a list of whole numbers from " + min + " to " + max);
            }
            numbers.add(((Number) element).intValue());
        }
        return List.copyOf(numbers);
    }

    /** Returns whether the key is absent or its value is a blank text. */
    boolean isBlank(String key) {
        Object value = value(key);
        return value == null || value instanceof String text && text.isBlank();
    }

    /** Returns whether the key is present, without marking it as read. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /**
     * Returns this section if all the keys are present.
     *
     * @throws SettingsException if a key is missing
     */
    public SettingsSection require(String... keys) throws SettingsException {
        for (String key : keys) {
            if (!values.containsKey(key)) {
                throw invalid(key, "is missing");
            }
        }
        return this;
    }

    /** Returns a file path; null if the key is absent. */
    public Path path(String key) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return null;
        }
        try {
            if (value instanceof String text && !text.isEmpty()) {
                return Path.of(text);
            }
        } catch (InvalidPathException e) {
            // Reported below, like a value of another type.
        }
        throw invalid(key, "must be a path");
    }

    /** Returns a port number; null if the key is absent. */
    public Integer port(String key) throws SettingsException {
        return value(key) == null ? null : Integer.valueOf(integer(key, 0, 1, MAX_PORT));
    }

    /** Returns an integer or decimal number from {@code min} to {@code max}; the default if the key is absent. */
    public double number(String key, double defaultValue, double min, double max) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        throw invalid(key, "must be a number from " + min + " to " + max);
    }

    /** Returns a literal address with a port; null if the key is absent. */
    public InetSocketAddress address(String key) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return null;
        }
        try {
            if (value instanceof String text) {
                return LiteralAddresses.parse(text);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, like a value of another type.
        }
        throw invalid(key, "must be a literal address and a port, as \"127.0.0.1:9001\"");
    }

    void rejectUnreadKeys() throws SettingsException {
        for (String key : values.keySet()) {
            if (!readKeys.contains(key)) {
                throw new SettingsException(file + ": unknown key " + table + "." + key);
            }
        }
    }
}
