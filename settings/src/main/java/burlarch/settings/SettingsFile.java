package burlarch.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operator's TOML file, read once at start. Each feature reads its section. A key that no feature has read by
 * then is an error, most likely a misspelt name ({@link #rejectUnreadKeys}).
 */
public final class SettingsFile {
    private final String name;
    private final Map<String, Object> values;
    private final List<SettingsSection> sections = new ArrayList<>();
    private final Set<String> read = new HashSet<>();

    private SettingsFile(String name, Map<String, Object> values) {
        this.name = name;
        this.values = values;
    }

    /** Returns a file without any key, for programs started without one: every default applies. */
    public static SettingsFile empty() {
        return new SettingsFile("", Map.of());
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException if there is no such file, it can't be read, or it is no valid TOML
     */
    public static SettingsFile load(Path file) throws SettingsException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException(file + ": no such file");
        } catch (CharacterCodingException e) {
            throw new SettingsException(file + ": not UTF-8");
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read: " + e.getMessage());
        }
    }

    /**
     * Loads a file that may extend a base file beside it, named by its key {@code base = "other.toml"}. The keys of a
     * table override those of the base's table, one by one; a list of tables replaces the base's list. A base has no
     * base.
     */
    public static SettingsFile loadWithBase(Path file) throws SettingsException {
        SettingsFile own = load(file);
        Object base = own.values.get("base");
        if (base == null) {
            return own;
        }
        if (!(base instanceof String text) || text.isBlank()) {
            throw own.invalid("base", "must be the name of a file beside this one");
        }
        SettingsFile under = load(file.resolveSibling(text));
        if (under.values.containsKey("base")) {
            throw under.invalid("base", "has no place in a file that is a base itself");
        }
        Map<String, Object> merged = new LinkedHashMap<>(under.values);
        for (Map.Entry<String, Object> entry : own.values.entrySet()) {
            Object before = merged.get(entry.getKey());
            if (before instanceof UnmodifiableConfig lower && entry.getValue() instanceof Config upper) {
                Config both = Config.inMemory();
                both.putAll(lower);
                both.putAll(upper);
                merged.put(entry.getKey(), both);
            } else {
                merged.put(entry.getKey(), entry.getValue());
            }
        }
        merged.remove("base");
        return new SettingsFile(own.name, merged);
    }

    /** @param name of the file, for messages */
    public static SettingsFile parse(String name, String text) throws SettingsException {
        try {
            return new SettingsFile(
                    name, new TomlParser().parse(new StringReader(text)).valueMap());
        } catch (ParsingException e) {
            throw new SettingsException(name + ": not TOML: "
                    + String.valueOf(e.getMessage())
                            .lines()
                            .findFirst()
                            .orElse("")
                            .strip());
        }
    }

    /** Returns the keys above all tables, and the tables themselves as values. Unknown keys in it are not rejected. */
    public SettingsSection top() {
        return new SettingsSection(name, "", values);
    }

    /** Returns the table of one feature; empty if the file has none. */
    public SettingsSection section(String table) throws SettingsException {
        Object value = values.get(table);
        read.add(table);
        if (value != null && !(value instanceof UnmodifiableConfig)) {
            throw new SettingsException(name + ": " + table + " must be a table");
        }
        SettingsSection section =
                new SettingsSection(name, table, value == null ? Map.of() : ((UnmodifiableConfig) value).valueMap());
        sections.add(section);
        return section;
    }

    /** Returns the tables that the file repeats under one name, as {@code [[name]]}, in its order. */
    public List<SettingsSection> sections(String table) throws SettingsException {
        Object value = values.get(table);
        read.add(table);
        if (value == null) {
            return List.of();
        }
        List<SettingsSection> found = new ArrayList<>();
        for (Object one : value instanceof List<?> list ? list : List.of(value)) {
            if (!(one instanceof UnmodifiableConfig config) || !(value instanceof List<?>)) {
                throw new SettingsException(name + ": " + table + " must be tables, each begun by [[" + table + "]]");
            }
            found.add(new SettingsSection(name, table + "[" + found.size() + "]", config.valueMap()));
        }
        sections.addAll(found);
        return found;
    }

    /** Returns whether the file has that table, read or not. */
    public boolean has(String table) {
        return values.containsKey(table);
    }

    public SettingsException invalid(String key, String what) {
        return new SettingsException(name + ": " + key + " " + what);
    }

    /** Rejects keys that no feature has read; to be called after every feature has read its section. */
    public void rejectUnreadKeys() throws SettingsException {
        for (String table : values.keySet()) {
            if (!read.contains(table)) {
                throw new SettingsException(name + ": unknown key " + table);
            }
        }
        for (SettingsSection section : sections) {
            section.rejectUnreadKeys();
        }
    }
}
