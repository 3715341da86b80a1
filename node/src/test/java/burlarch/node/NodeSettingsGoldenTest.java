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

/** The file of a node's settings: names of keys and what is said of wrong values, as in the release before. */
class NodeSettingsGoldenTest {
    private static final GoldenFiles SETTINGS = new GoldenFiles("settings");

    @TempDir
    Path folder;

    @Test
    void everyKeyOfTheFileIsRead() throws Exception {
        assertThat(values(NodeSettings.load(file("node.toml")))).isEqualTo(SETTINGS.lines("node-values.txt"));
    }

    @Test
    void keysThatAreLeftOutHaveTheirDefaults() throws Exception {
        Path file = Files.writeString(
                folder.resolve("short.toml"), "node_name = \"n1\"\nip = \"10.9.0.1\"\nport_range = [7000, 7009]\n");

        assertThat(values(NodeSettings.load(file))).isEqualTo(SETTINGS.lines("default-values.txt"));
    }

    @Test
    void everyWrongValueIsNamedByItsKey() {
        assertThatThrownBy(() -> NodeSettings.load(file("wrong.toml")))
                .isInstanceOfSatisfying(SettingsException.class, wrong -> assertThat(mistakes(wrong))
                        .isEqualTo(SETTINGS.lines("wrong-mistakes.txt")));
    }

    @Test
    void theEnvironmentNamesTheFile() {
        assertThat(NodeSettings.FILE_VARIABLE).isEqualTo("BURLARCH_NODE_FILE");
    }

    private Path file(String name) throws IOException {
        return Files.writeString(folder.resolve(name), SETTINGS.text(name));
    }

    private List<String> mistakes(SettingsException wrong) {
        return wrong.getMessage()
                .lines()
                .map(line -> line.replace(folder.toString(), "FOLDER"))
                .toList();
    }

    /** The values in the order of the components, so that no name of the code stands in the file. */
    static List<String> values(Object settings) throws ReflectiveOperationException {
        List<String> lines = new ArrayList<>();
        addValues("", settings, lines);
        return lines;
    }

    private static void addValues(String place, Object value, List<String> lines) throws ReflectiveOperationException {
        if (!(value instanceof Record)) {
            lines.add(place + " " + (value instanceof Map<?, ?> map ? new TreeMap<>(map) : value));
            return;
        }
        RecordComponent[] components = value.getClass().getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            components[i].getAccessor().setAccessible(true);
            addValues(place + "/" + i, components[i].getAccessor().invoke(value), lines);
        }
    }
}
