package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The proxy's operator file and the arguments of {@code serve} are read as in the previous release. */
class OperatorSettingsGoldenTest {
    private static final GoldenFiles SETTINGS = new GoldenFiles("settings");

    @TempDir
    Path folder;

    @Test
    void everySettingOfFileIsRead() throws Exception {
        Path file = Files.writeString(folder.resolve("operator.toml"), SETTINGS.text("operator.toml"));

        assertEquals(SETTINGS.lines("operator-values.txt"), values("--hot-list", "--config", file.toString()));
    }

    @Test
    void settingsHaveDefaultsWithoutFile() throws Exception {
        assertEquals(SETTINGS.lines("default-values.txt"), values("--hot-list"));
    }

    /** Values in the order of the record components, so that the golden files contain no names of the code. */
    static List<String> values(String... arguments) throws Exception {
        List<String> commandLine = new ArrayList<>(List.of("serve"));
        commandLine.addAll(List.of(arguments));
        List<String> lines = new ArrayList<>();
        addValues("", Features.load(Features.Arguments.parse(commandLine.toArray(String[]::new))), lines);
        return lines;
    }

    private static void addValues(String path, Object value, List<String> lines) throws ReflectiveOperationException {
        if (!(value instanceof Record)) {
            lines.add(path + " " + value);
            return;
        }
        RecordComponent[] components = value.getClass().getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            components[i].getAccessor().setAccessible(true);
            addValues(path + "/" + i, components[i].getAccessor().invoke(value), lines);
        }
    }
}
