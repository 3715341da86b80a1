package burlarch.settings;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Collection of all errors of a file before the file is rejected. */
class SettingsErrorCollectorTest {
    private final SettingsErrorCollector collector = new SettingsErrorCollector();

    private static SettingsSection top(String text) throws SettingsException {
        return SettingsFile.parse("b.toml", text).top();
    }

    @Test
    void everyErrorIsReportedOnItsOwnLine() throws Exception {
        SettingsSection top = top("count = 11\nname = 3\nseeds = [\"a\"]\n");
        assertEquals(5, collector.optional(top, "count", 5, () -> top.integer("count", 5, 1, 10)));
        assertEquals("none", collector.required(top, "name", "none", () -> top.text("name", "")));
        assertEquals("none", collector.required(top, "role", "none", () -> top.text("role", "")));
        collector.valid(top, "seeds", top.texts("seeds"), List::isEmpty, "must be empty");
        List<String> lines = assertThrows(SettingsException.class, collector::throwIfInvalid)
                .getMessage()
                .lines()
                .toList();
        assertEquals(4, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("b.toml: count must be"), lines.get(0));
        assertTrue(lines.get(1).startsWith("b.toml: name must be"), lines.get(1));
        assertEquals("b.toml: role is missing", lines.get(2));
        assertEquals("b.toml: seeds must be empty", lines.get(3));
    }

    @Test
    void absentValuesAndBlankTextsHaveDefaults() throws Exception {
        SettingsSection top = top("count = \"\"\n");
        assertEquals(5, collector.optional(top, "count", 5, () -> top.integer("count", 5, 1, 10)));
        assertEquals(6, collector.optional(top, "other", 6, () -> top.integer("other", 6, 1, 10)));
        collector.valid(top, "other", (String) null, String::isEmpty, "must be empty");
        assertDoesNotThrow(collector::throwIfInvalid);
    }

    @Test
    void topLevelKeysAndWholeTablesCanBeRead() throws Exception {
        SettingsFile file = SettingsFile.parse(
                "b.toml", "ports = [1, 7]\n[zones]\nnorth = \"upper\"\nsouth = \"lower\"\n[part]\ncount = 1\n");
        assertEquals(List.of(1, 7), file.top().integers("ports", 1, 10));
        assertEquals(List.of(), file.top().integers("none", 1, 10));
        assertEquals(
                Map.of("north", "upper", "south", "lower"),
                file.section("zones").allTexts());
        assertThrows(SettingsException.class, () -> file.section("part").allTexts());
        assertThrows(SettingsException.class, () -> file.top().integers("ports", 1, 6));
        assertThrows(SettingsException.class, () -> file.top().integers("ports", 2, 10));
        assertThrows(SettingsException.class, () -> top("ports = 3\n").integers("ports", 1, 10));
        assertThrows(SettingsException.class, () -> top("ports = [1.5]\n").integers("ports", 1, 10));
    }
}
