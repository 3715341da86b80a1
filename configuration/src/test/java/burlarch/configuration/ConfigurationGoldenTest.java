package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.configuration.Configuration.Engine;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.Configuration.Model;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Service;
import burlarch.configuration.Configuration.Split;
import burlarch.configuration.Configuration.Tenant;
import burlarch.golden.GoldenFiles;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;
import java.util.zip.DataFormatException;
import org.junit.jupiter.api.Test;

/**
 * Tests that the formats of documents, patches, digests, problems and deltas stay compatible with the previous release,
 * whose input and output the golden files hold.
 */
class ConfigurationGoldenTest {
    private static final GoldenFiles GOLDEN = new GoldenFiles("configuration");
    private static final int DELTA_STEPS_OFFSET = 32;
    private static final int MAX_STEPS_BYTES = 1 << 20;

    /**
     * Returns the content of the golden document. It has each field with a value that is no default, and no two numbers
     * of such fields are equal, so that swapped or ignored fields are noticed.
     */
    static Configuration expectedContent() {
        return new Configuration(
                17,
                List.of(
                        new Route(
                                "chat",
                                "chat.example",
                                "/v1/",
                                RouteType.STREAMING,
                                30_000,
                                1_200,
                                3,
                                null,
                                List.of(new Split("engines", 0.75), new Split("plain", 0.25)),
                                2,
                                true,
                                true,
                                true,
                                450),
                        new Route(
                                "orders",
                                "shop.example",
                                "/orders/",
                                RouteType.NON_IDEMPOTENT,
                                2_000,
                                900,
                                1,
                                "plain",
                                List.of(),
                                4,
                                false,
                                false,
                                false,
                                0),
                        new Route(
                                "items",
                                "shop.example",
                                "/items/",
                                RouteType.IDEMPOTENT,
                                2_500,
                                2_500,
                                0,
                                "plain",
                                List.of(),
                                1,
                                false,
                                false,
                                false,
                                0)),
                List.of(
                        new Service(
                                "engines",
                                "/health",
                                64,
                                new Engine(8, 120_000, 131_072, 25_000.5, 256, 12, List.of(new Model("m"))),
                                null,
                                null,
                                0,
                                0,
                                0),
                        new Service("plain", "/ready", 32, null, null, null, 0, 0, 0),
                        new Service("store", null, 0, null, "10.0.0.8:9000", "north", 4_000_000, 40_000, 24)),
                new Limits(8_192, 2_097_152, 1_500, 10_000),
                List.of(
                        new Tenant("gold", List.of("key-1", "key-2"), 5, true),
                        new Tenant("free", List.of("key-3"), null, false)));
    }

    @Test
    void parsingReadsEveryField() throws InvalidConfigurationException {
        byte[] document = goldenJson("document");

        assertThat(ConfigurationDocument.parse(document).configuration()).isEqualTo(expectedContent());
        assertThat(ConfigurationDocument.parseTrusted(document)).isEqualTo(expectedContent());
    }

    /** A field that the golden document does not contain would not be checked by the test of parsing. */
    @Test
    void goldenDocumentContainsEveryField() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        TreeSet<String> fieldsInDocument = new TreeSet<>();
        collectFieldPaths("", mapper.readTree(goldenJson("document")), fieldsInDocument);
        fieldsInDocument.removeIf(field -> field.startsWith("operator_note"));
        TreeSet<String> fieldsInCode = new TreeSet<>();
        collectFieldPaths("", mapper.valueToTree(expectedContent()), fieldsInCode);

        assertThat(fieldsInDocument).isEqualTo(fieldsInCode);
        assertThat(fieldsInCode).containsExactlyElementsOf(GOLDEN.lines("fields.txt"));
    }

    @Test
    void documentHasTheJsonAndDigestOfThePreviousRelease() throws InvalidConfigurationException {
        ConfigurationDocument document = ConfigurationDocument.parse(goldenJson("document"));

        assertThat(document.json()).isEqualTo(goldenJson("document-kept"));
        assertThat(document.digest())
                .isEqualTo(GOLDEN.lines("document-digest.txt").get(0));
        assertThat(document.version()).isEqualTo(17);
    }

    @Test
    void patchHasTheResultAndDigestOfThePreviousRelease() throws InvalidConfigurationException {
        ConfigurationDocument base = ConfigurationDocument.parse(goldenJson("document"));
        ConfigurationPatch patch = ConfigurationPatch.parse(goldenJson("patch"));

        assertThat(patch.version()).isEqualTo(18);
        assertThat(patch.digest()).isEqualTo(GOLDEN.lines("patch-digest.txt").get(0));
        assertThat(patch.applyTo(base).json()).isEqualTo(goldenJson("patched"));
    }

    /** The document has one invalid field of each kind. */
    @Test
    void invalidFieldsAreReportedAsInThePreviousRelease() {
        assertThatThrownBy(() -> ConfigurationDocument.parse(goldenJson("invalid")))
                .isInstanceOfSatisfying(
                        InvalidConfigurationException.class, exception -> assertThat(formatProblems(exception))
                                .isEqualTo(GOLDEN.lines("invalid-problems.txt")));
    }

    /** Each field of the document is valid by itself, but names are repeated and references are invalid. */
    @Test
    void invalidReferencesAreReportedAsInThePreviousRelease() {
        assertThatThrownBy(() -> ConfigurationDocument.parse(goldenJson("contradiction")))
                .isInstanceOfSatisfying(
                        InvalidConfigurationException.class, exception -> assertThat(formatProblems(exception))
                                .isEqualTo(GOLDEN.lines("contradiction-problems.txt")));
    }

    @Test
    void deltasOfThePreviousReleaseAreApplied() throws DeltaMismatchException {
        byte[] base = goldenJson("document-kept");

        assertThat(DocumentDelta.apply(base, GOLDEN.bytes("delta"))).isEqualTo(goldenJson("patched"));
        assertThat(DocumentDelta.apply(DocumentDelta.NO_BASE, GOLDEN.bytes("delta-whole")))
                .isEqualTo(goldenJson("patched"));
    }

    /** Compares the deltas without compression, because the compressed bytes depend on the zlib of the machine. */
    @Test
    void deltasAreWrittenAsInThePreviousRelease() throws DataFormatException {
        byte[] patched = goldenJson("patched");

        assertSameDelta(DocumentDelta.between(goldenJson("document-kept"), patched), GOLDEN.bytes("delta"));
        assertSameDelta(DocumentDelta.between(DocumentDelta.NO_BASE, patched), GOLDEN.bytes("delta-whole"));
    }

    private static byte[] goldenJson(String name) {
        return GOLDEN.text(name + ".json").strip().getBytes(StandardCharsets.UTF_8);
    }

    private static void assertSameDelta(byte[] written, byte[] golden) throws DataFormatException {
        assertThat(Arrays.copyOf(written, DELTA_STEPS_OFFSET)).isEqualTo(Arrays.copyOf(golden, DELTA_STEPS_OFFSET));
        assertThat(ZlibCompression.decompress(written, DELTA_STEPS_OFFSET, MAX_STEPS_BYTES))
                .isEqualTo(ZlibCompression.decompress(golden, DELTA_STEPS_OFFSET, MAX_STEPS_BYTES));
    }

    private static List<String> formatProblems(InvalidConfigurationException exception) {
        List<String> lines = new ArrayList<>();
        exception.problems().forEach(problem -> lines.add(problem.field() + ": " + problem.reason()));
        return lines;
    }

    private static void collectFieldPaths(String path, JsonNode node, TreeSet<String> paths) {
        if (node.isArray()) {
            node.forEach(item -> collectFieldPaths(path + "[]", item, paths));
        } else if (node.isObject()) {
            node.properties().forEach(field -> {
                String fieldPath = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
                paths.add(fieldPath);
                collectFieldPaths(fieldPath, field.getValue(), paths);
            });
        }
    }
}
