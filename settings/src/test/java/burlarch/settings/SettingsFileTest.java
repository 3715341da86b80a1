package burlarch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of settings files, and the errors reported for invalid ones. */
class SettingsFileTest {
    @TempDir
    Path folder;

    private static void readPart(String text) throws SettingsException {
        SettingsFile file = SettingsFile.parse("b.toml", text);
        SettingsSection section = file.section("part");
        section.address("listen");
        section.integer("count", 3, 1, 10);
        section.number("span", 2, 0.5, 5);
        file.rejectUnreadKeys();
    }

    private static void assertRejected(String text, String... expectedParts) {
        String message = assertThrows(SettingsException.class, () -> readPart(text), text)
                .getMessage();
        assertEquals(1, message.lines().count(), message);
        assertTrue(message.startsWith("b.toml: "), message);
        for (String part : expectedParts) {
            assertTrue(message.contains(part), message);
        }
    }

    @Test
    void absentKeysHaveDefaults() throws Exception {
        for (String text : new String[] {"", "# nothing\n", "[part]\n"}) {
            SettingsSection section = SettingsFile.parse("b.toml", text).section("part");
            assertNull(section.address("listen"));
            assertEquals(3, section.integer("count", 3, 1, 10));
        }
    }

    @Test
    void tablesAndDottedKeysAreEquivalent() throws Exception {
        for (String text : new String[] {
            "[part]\nlisten = \"127.0.0.1:9001\"\ncount = 7\n", "part.listen = \"127.0.0.1:9001\"\npart.count = 7\n"
        }) {
            SettingsSection section = SettingsFile.parse("b.toml", text).section("part");
            assertEquals(9001, section.address("listen").getPort());
            assertEquals(7, section.integer("count", 3, 1, 10));
        }
    }

    @Test
    void invalidTomlIsReportedInOneLine() {
        for (String text : new String[] {
            "[part", "[part]\ncount = \n", "[part]\nlisten = \"open\n", "[part]\ncount = 1\ncount = 2\n"
        }) {
            assertRejected(text);
        }
    }

    @Test
    void unknownKeysAndTablesAreReported() {
        assertRejected("[prat]\ncount = 1\n", "prat");
        assertRejected("count = 1\n", "count");
        assertRejected("[part]\ncuont = 1\n", "part.cuont");
        assertRejected("part = 1\n", "part");
    }

    @Test
    void invalidTypesRangesAndAddressesAreReported() {
        for (String value : new String[] {"\"4\"", "0", "11", "-1", "1.5", "true", "[1]", "9999999999"}) {
            assertRejected("[part]\ncount = " + value + "\n", "part.count", "1 to 10");
        }
        for (String value : new String[] {"\"1\"", "0.4", "5.1", "nan", "inf"}) {
            assertRejected("[part]\nspan = " + value + "\n", "part.span", "0.5 to 5.0");
        }
        for (String value : new String[] {
            "9001",
            "\"localhost:9001\"",
            "\"127.0.0.1\"",
            "\"127.0.0.1:x\"",
            "\"127.0.0.1:0\"",
            "\"127.0.0.1:70000\"",
            "\"\""
        }) {
            assertRejected("[part]\nlisten = " + value + "\n", "part.listen");
        }
    }

    @Test
    void aMissingOrUnreadableFileIsReported() throws IOException {
        Path missing = folder.resolve("none.toml");
        Path binary = Files.write(folder.resolve("binary.toml"), new byte[] {(byte) 0xff, (byte) 0xfe});
        for (Path file : new Path[] {missing, binary, folder}) {
            String message = assertThrows(SettingsException.class, () -> SettingsFile.load(file))
                    .getMessage();
            assertTrue(message.startsWith(file + ": "), message);
        }
    }

    @Test
    void aFileOverridesItsBase() throws Exception {
        Files.writeString(folder.resolve("base.toml"), "[part]\ncount = 5\nspan = 1.5\n[[more]]\nname = \"a\"\n");
        Path extending = Files.writeString(
                folder.resolve("own.toml"), "base = \"base.toml\"\n[part]\ncount = 7\n[[more]]\nname = \"b\"\n");
        SettingsFile file = SettingsFile.loadWithBase(extending);
        assertEquals(7, file.section("part").integer("count", 0, 1, 10));
        assertEquals(1.5, file.section("part").number("span", 0, 0, 5));
        assertEquals("b", file.sections("more").get(0).text("name", ""));
        assertEquals(1, file.sections("more").size());
        Path extendingTwice = Files.writeString(folder.resolve("chain.toml"), "base = \"own.toml\"\n");
        assertThrows(SettingsException.class, () -> SettingsFile.loadWithBase(extendingTwice));
        Path missingBase = Files.writeString(folder.resolve("lost.toml"), "base = \"nothing.toml\"\n");
        assertTrue(assertThrows(SettingsException.class, () -> SettingsFile.loadWithBase(missingBase))
                .getMessage()
                .endsWith("no such file"));
    }
}
