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

/** The operator's file of the proxy and the arguments of {@code serve}, as the release before read them. */
class OperatorSettingsGoldenTest {
    private static final GoldenFiles SETTINGS = new GoldenFiles("settings");

    @TempDir
    Path folder;

    @Test
    void everyKeyOfTheFileIsRead() throws Exception {
        Path file = Files.writeString(folder.resolve("operator.toml"), SETTINGS.text("operator.toml"));

        assertEquals(SETTINGS.lines("operator-values.txt"), values("--hot-list", "--config", file.toString()));
    }

    @Test
    void withoutAFileAllHaveTheirDefaults() throws Exception {
        assertEquals(SETTINGS.lines("default-values.txt"), values("--hot-list"));
    }

    /** The values in the order of the components, so that no name of the code stands in the file. */
    static List<String> values(String... arguments) throws Exception {
        List<String> words = new ArrayList<>(List.of("serve"));
        words.addAll(List.of(arguments));
        List<String> lines = new ArrayList<>();
        addValues("", Features.load(Features.Arguments.parse(words.toArray(String[]::new))), lines);
        return lines;
    }

    private static void addValues(String place, Object value, List<String> lines) throws ReflectiveOperationException {
        if (!(value instanceof Record)) {
            lines.add(place + " " + value);
            return;
        }
        RecordComponent[] components = value.getClass().getRecordComponents();
        for (int i = 0; i < components.length; i++) {
            components[i].getAccessor().setAccessible(true);
            addValues(place + "/" + i, components[i].getAccessor().invoke(value), lines);
        }
    }
}
