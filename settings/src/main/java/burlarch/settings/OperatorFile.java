package burlarch.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The operator's TOML file, read once at the start. Each feature reads its section; whatever nobody has read
 * by then is a mistake, most likely a misspelt name, and not to be passed over.
 */
public final class OperatorFile {
    private final String name;
    private final Map<String, Object> values;
    private final Map<String, Section> sections = new LinkedHashMap<>();

    private OperatorFile(String name, Map<String, Object> values) {
        this.name = name;
        this.values = values;
    }

    /** Stands in for a file where none is given: all defaults. */
    public static OperatorFile none() {
        return new OperatorFile("", Map.of());
    }

    public static OperatorFile load(Path file) throws SettingsException {
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

    static OperatorFile parse(String name, String text) throws SettingsException {
        try {
            return new OperatorFile(name, new TomlParser().parse(new StringReader(text)).valueMap());
        } catch (ParsingException e) {
            throw new SettingsException(name + ": not TOML: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse("").strip());
        }
    }

    /** The table of one feature, empty where the file has none. */
    public Section section(String table) throws SettingsException {
        Object value = values.get(table);
        if (value != null && !(value instanceof UnmodifiableConfig)) {
            throw new SettingsException(name + ": " + table + " must be a table");
        }
        Section section = new Section(name, table,
                value == null ? Map.of() : ((UnmodifiableConfig) value).valueMap());
        sections.put(table, section);
        return section;
    }

    /** To be called once every feature has read its section. */
    public void refuseUnread() throws SettingsException {
        for (String table : values.keySet()) {
            if (!sections.containsKey(table)) {
                throw new SettingsException(name + ": unknown key " + table);
            }
        }
        for (Section section : sections.values()) {
            section.refuseUnread();
        }
    }
}
