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
 * Settings file in TOML, read once at program start. Each feature reads its own section. Keys that no feature has read
 * are errors, most likely misspelt names; {@link #rejectUnreadKeys} reports them.
 */
public final class SettingsFile {
    private final String name;
    private final Map<String, Object> values;
    private final List<SettingsSection> sections = new ArrayList<>();
    private final Set<String> readTables = new HashSet<>();

    private SettingsFile(String name, Map<String, Object> values) {
        this.name = name;
        this.values = values;
    }

    /** Returns a file without any keys, for programs started without a settings file: every default applies. */
    public static SettingsFile empty() {
        return new SettingsFile("", Map.of());
    }

    /**
     * Reads and parses a file.
     *
     * @throws SettingsException if the file does not exist, cannot be read, or is not valid TOML in UTF-8
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
     * Loads a file that may extend a base file in the same directory, named by its key {@code base = "other.toml"}. The
     * keys of a table override those of the base's table, one by one; any other value, such as a list of tables,
     * replaces the base's value. A base file must not name a base itself.
     *
     * @throws SettingsException if a file cannot be loaded or the base is invalid
     */
    public static SettingsFile loadWithBase(Path file) throws SettingsException {
        SettingsFile extending = load(file);
        Object base = extending.values.get("base");
        if (base == null) {
            return extending;
        }
        if (!(base instanceof String text) || text.isBlank()) {
            throw extending.invalid("base", "must be the name of a file in the same directory");
        }
        SettingsFile baseFile = load(file.resolveSibling(text));
        if (baseFile.values.containsKey("base")) {
            throw baseFile.invalid("base", "is not allowed in a file that is itself a base");
        }
        Map<String, Object> merged = new LinkedHashMap<>(baseFile.values);
        for (Map.Entry<String, Object> entry : extending.values.entrySet()) {
            Object baseValue = merged.get(entry.getKey());
            if (baseValue instanceof UnmodifiableConfig baseTable
                    && entry.getValue() instanceof Config overridingTable) {
                Config mergedTable = Config.inMemory();
                mergedTable.putAll(baseTable);
                mergedTable.putAll(overridingTable);
                merged.put(entry.getKey(), mergedTable);
            } else {
                merged.put(entry.getKey(), entry.getValue());
            }
        }
        merged.remove("base");
        return new SettingsFile(extending.name, merged);
    }

    /**
     * Parses the text of a file.
     *
     * @param name name of the file, for messages
     * @throws SettingsException if the text is not valid TOML
     */
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

    /** Returns the top-level keys, with tables as values. Keys that are not read through it are not rejected. */
    public SettingsSection top() {
        return new SettingsSection(name, "", values);
    }

    /**
     * Returns the table of one feature; an empty section if the file has none.
     *
     * @throws SettingsException if the value under that name is not a table
     */
    public SettingsSection section(String table) throws SettingsException {
        Object value = values.get(table);
        readTables.add(table);
        if (value != null && !(value instanceof UnmodifiableConfig)) {
            throw new SettingsException(name + ": " + table + " must be a table");
        }
        SettingsSection section =
                new SettingsSection(name, table, value == null ? Map.of() : ((UnmodifiableConfig) value).valueMap());
        sections.add(section);
        return section;
    }

    /**
     * Returns the array of tables {@code [[table]]} in file order; empty if the file has none.
     *
     * @throws SettingsException if the value under that name is not an array of tables
     */
    public List<SettingsSection> sections(String table) throws SettingsException {
        Object value = values.get(table);
        readTables.add(table);
        if (value == null) {
            return List.of();
        }
        List<SettingsSection> tables = new ArrayList<>();
        for (Object element : value instanceof List<?> list ? list : List.of(value)) {
            if (!(element instanceof UnmodifiableConfig tableValues) || !(value instanceof List<?>)) {
                throw new SettingsException(name + ": " + table + " must be tables, each begun by [[" + table + "]]");
            }
            tables.add(new SettingsSection(name, table + "[" + tables.size() + "]", tableValues.valueMap()));
        }
        sections.addAll(tables);
        return tables;
    }

    /** Returns whether the file has the table, whether or not it has been read. */
    public boolean has(String table) {
        return values.containsKey(table);
    }

    /** Returns an exception for one top-level key; the message is file, key and {@code problem}. */
    public SettingsException invalid(String key, String problem) {
        return new SettingsException(name + ": " + key + " " + problem);
    }

    /**
     * Rejects keys that no feature has read. To be called after every feature has read its section.
     *
     * @throws SettingsException with the first unread table or key
     */
    public void rejectUnreadKeys() throws SettingsException {
        for (String table : values.keySet()) {
            if (!readTables.contains(table)) {
                throw new SettingsException(name + ": unknown key " + table);
            }
        }
        for (SettingsSection section : sections) {
            section.rejectUnreadKeys();
        }
    }
}
