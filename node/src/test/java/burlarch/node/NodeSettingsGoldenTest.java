package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.golden.GoldenFiles;
import burlarch.settings.SettingsException;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against changes of the settings file format: keys, defaults and error messages must equal the golden files of
 * the previous release.
 */
class NodeSettingsGoldenTest {
    private static final GoldenFiles GOLDEN_FILES = new GoldenFiles("settings");

    @TempDir
    Path directory;

    @Test
    void fileWithAllKeysHasGoldenValues() throws Exception {
        assertThat(formatValues(NodeSettings.load(writeGoldenFile("node.toml"))))
                .isEqualTo(GOLDEN_FILES.lines("node-values.txt"));
    }

    @Test
    void absentKeysHaveGoldenDefaults() throws Exception {
        Path file = Files.writeString(
                directory.resolve("short.toml"), "node_name = \"n1\"\nip = \"10.9.0.1\"\nport_range = [7000, 7009]\n");

        assertThat(formatValues(NodeSettings.load(file))).isEqualTo(GOLDEN_FILES.lines("default-values.txt"));
    }

    @Test
    void invalidValuesAreReportedWithGoldenMessages() {
        assertThatThrownBy(() -> NodeSettings.load(writeGoldenFile("wrong.toml")))
                .isInstanceOfSatisfying(SettingsException.class, exception -> assertThat(errorLines(exception))
                        .isEqualTo(GOLDEN_FILES.lines("wrong-mistakes.txt")));
    }

    @Test
    void environmentVariableOfTheFileIsUnchanged() {
        assertThat(NodeSettings.FILE_VARIABLE).isEqualTo("BURLARCH_NODE_FILE");
    }

    private Path writeGoldenFile(String name) throws IOException {
        return Files.writeString(directory.resolve(name), GOLDEN_FILES.text(name));
    }

    private List<String> errorLines(SettingsException exception) {
        return exception
                .getMessage()
                .lines()
                .map(line -> line.replace(directory.toString(), "FOLDER"))
                .toList();
    }

    /** Formats values in the order of the record components, so that names of the code do not matter. */
    static List<String> formatValues(Object settings) throws ReflectiveOperationException {
        List<String> lines = new ArrayList<>();
        addValues("", settings, lines);
        return lines;
    }

    private static void addValues(String path, Object value, List<String> lines) throws ReflectiveOperationException {
        if (!(value instanceof Record)) {
            lines.add(path + " " + (value instanceof Map<?, ?> map ? new TreeMap<>(map) : value));
            return;
        }
        RecordComponent[] components = value.getClass().getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            components[i].getAccessor().setAccessible(true);
            addValues(path + "/" + i, components[i].getAccessor().invoke(value), lines);
        }
    }
}
