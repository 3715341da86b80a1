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

/** One table of the operator's file. Every getter names file and key when the value is not of its kind. */
public final class SettingsSection {
    private static final int PORT_MOST = 65_535;

    private final String file;
    private final String table;
    private final Map<String, Object> values;
    private final Set<String> read = new HashSet<>();

    SettingsSection(String file, String table, Map<String, Object> values) {
        this.file = file;
        this.table = table;
        this.values = values;
    }

    private Object value(String key) {
        read.add(key);
        return values.get(key);
    }

    public SettingsException invalid(String key, String what) {
        return new SettingsException(file + ": " + (table.isEmpty() ? key : table + "." + key) + " " + what);
    }

    /**
     * The whole number under that key, or {@code otherwise} where the key is absent.
     *
     * @throws SettingsException if it is no whole number or outside {@code least} to {@code most}
     */
    public int integer(String key, int otherwise, int least, int most) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            if (number >= least && number <= most) {
                return (int) number;
            }
        }
        throw invalid(key, "must be a whole number from " + least + " to " + most);
    }

    /** One of some words. */
    public String text(String key, String otherwise, List<String> words) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof String text && words.contains(text)) {
            return text;
        }
        throw invalid(key, "must be one of \"" + String.join("\", \"", words) + "\"");
    }

    /** Any text that is not empty. */
    public String text(String key, String otherwise) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        throw invalid(key, "must be a text");
    }

    public boolean flag(String key, boolean otherwise) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(key, "must be true or false");
    }

    /** A list of texts; empty where none is given. */
    public List<String> texts(String key) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list && list.stream().allMatch(one -> one instanceof String)) {
            return list.stream().map(String.class::cast).toList();
        }
        throw invalid(key, "must be a list of texts");
    }

    /** All of this table's keys with their texts, in the file's order. */
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

    /** A list of whole numbers; empty where none is given. */
    public List<Integer> integers(String key, int least, int most) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        List<Integer> numbers = new ArrayList<>();
        for (Object one : value instanceof List<?> list ? list : List.of("")) {
            if (!(one instanceof Integer || one instanceof Long)
                    || ((Number) one).longValue() < least
                    || ((Number) one).longValue() > most) {
                throw invalid(key, "must be a list of whole numbers from " + least + " to " + most);
            }
            numbers.add(((Number) one).intValue());
        }
        return List.copyOf(numbers);
    }

    /** Whether nothing is said under that key: it is not there, or an empty text. */
    boolean isBlank(String key) {
        Object value = value(key);
        return value == null || value instanceof String text && text.isBlank();
    }

    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** What must stand there, for getters that have no default. */
    public SettingsSection require(String... keys) throws SettingsException {
        for (String key : keys) {
            if (!values.containsKey(key)) {
                throw invalid(key, "is missing");
            }
        }
        return this;
    }

    /** A file's path; null where none is given. */
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
            // Said below, as for a value of another type.
        }
        throw invalid(key, "must be a path");
    }

    /** A port; null where none is given. */
    public Integer port(String key) throws SettingsException {
        return value(key) == null ? null : Integer.valueOf(integer(key, 0, 1, PORT_MOST));
    }

    /** A whole or decimal number. */
    public double number(String key, double otherwise, double least, double most) throws SettingsException {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
            return number.doubleValue();
        }
        throw invalid(key, "must be a number from " + least + " to " + most);
    }

    /** A literal address and a port; null where none is given. */
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
            // Said below, as for a value of another type.
        }
        throw invalid(key, "must be a literal address and a port, as \"127.0.0.1:9001\"");
    }

    void rejectUnreadKeys() throws SettingsException {
        for (String key : values.keySet()) {
            if (!read.contains(key)) {
                throw new SettingsException(file + ": unknown key " + table + "." + key);
            }
        }
    }
}
