package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Split;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests parsing, validation, digests and defaults of {@link ConfigurationDocument}. */
class ConfigurationDocumentTest {
    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static Stream<Arguments> checks() {
        return StreamSupport.stream(
                        Scenarios.parseTree(Scenarios.readResource("checks.json"))
                                .spliterator(),
                        false)
                .map(scenario -> Arguments.of(scenario.path("name").asText(), scenario));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("checks")
    void reportsTheExpectedProblemOfEachScenario(String name, JsonNode scenario) {
        byte[] json = Scenarios.toJson(Scenarios.changedBaseDocument(scenario));
        List<String> expected = Scenarios.expectedProblemFields(scenario);
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(json)))
                .isEqualTo(expected);
    }

    static List<String> unreadable() {
        return Scenarios.readLines("unreadable.txt");
    }

    @ParameterizedTest
    @MethodSource("unreadable")
    void rejectsUnreadableDocuments(String json) {
        assertThatThrownBy(() -> ConfigurationDocument.parse(utf8(json)))
                .isInstanceOf(InvalidConfigurationException.class);
    }

    @Test
    void rejectsDeepNesting() {
        String deeplyNestedArray = "[".repeat(5_000) + "]".repeat(5_000);
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(
                        utf8("{\"config_version\":1,\"routes\":[],\"services\":[],\"x\":" + deeplyNestedArray + "}"))))
                .hasSize(1);
    }

    @Test
    void rejectsInvalidUtf8() {
        byte[] json = utf8("{\"config_version\":1,\"routes\":[],\"services\":[],\"x\":\"__\"}");
        json[json.length - 4] = (byte) 0xC3;
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(json)))
                .hasSize(1);
    }

    @Test
    void rejectsEveryTruncatedDocument() {
        byte[] completeJson = Scenarios.toJson(Scenarios.baseDocument());
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(completeJson)))
                .isEmpty();
        for (int length = 0; length < completeJson.length; length++) {
            byte[] truncatedJson = Arrays.copyOf(completeJson, length);
            assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(truncatedJson)))
                    .as("%d bytes", length)
                    .isNotEmpty();
            assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parseTrusted(truncatedJson)))
                    .as("%d trusted bytes", length)
                    .isNotEmpty();
        }
    }

    @Test
    void reportsAllInvalidFieldsTogether() {
        ObjectNode changed = Scenarios.baseDocument();
        ((ObjectNode) changed.at("/routes/0")).put("timeout_ms", 0).put("path_prefix", "x");
        ((ObjectNode) changed.at("/services/1/engine")).put("capacity", -1);
        byte[] json = Scenarios.toJson(changed);
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(json)))
                .containsExactly("routes[0].path_prefix", "routes[0].timeout_ms", "services[1].engine.capacity");
    }

    @Test
    void reportsAllInvalidReferencesTogether() {
        ObjectNode changed = Scenarios.baseDocument();
        ((ObjectNode) changed.at("/routes/0")).put("service", "nobody").put("path_prefix", "/");
        byte[] json = Scenarios.toJson(changed);
        assertThat(Scenarios.problemFields(() -> ConfigurationDocument.parse(json)))
                .containsExactly("routes[1].path_prefix", "routes[0].service");
    }

    @Test
    void jsonRetainsUnknownFieldsAndTheOrderOfFields() throws InvalidConfigurationException {
        byte[] sent = Scenarios.readResource("base.json");
        ConfigurationDocument document = ConfigurationDocument.parse(sent);
        String sentWithoutSpaces = new String(sent, StandardCharsets.UTF_8).replaceAll("\\s", "");
        String retained = new String(document.json(), StandardCharsets.UTF_8);
        assertThat(retained.replaceAll("\\s", "")).isEqualTo(sentWithoutSpaces.replace("1e3", "1E+3"));
        assertThat(Scenarios.parseTree(document.json())).isEqualTo(Scenarios.baseDocument());
        assertThat(ConfigurationDocument.parse(document.json()).json()).isEqualTo(document.json());
        assertThat(document.version()).isEqualTo(12);
    }

    @Test
    void changingTheReturnedArrayDoesNotChangeTheDocument() throws InvalidConfigurationException {
        ConfigurationDocument document = ConfigurationDocument.parse(Scenarios.readResource("base.json"));
        byte[] jsonBefore = document.json();
        Arrays.fill(document.json(), (byte) 0);
        assertThat(document.json()).isEqualTo(jsonBefore);
    }

    private static JsonNode withFieldsReversed(JsonNode node) {
        if (node instanceof ObjectNode object) {
            List<String> names = new ArrayList<>();
            object.fieldNames().forEachRemaining(names::add);
            Collections.reverse(names);
            ObjectNode reversedCopy = object.objectNode();
            names.forEach(name -> reversedCopy.set(name, withFieldsReversed(object.get(name))));
            return reversedCopy;
        }
        if (node instanceof ArrayNode array) {
            ArrayNode reversedCopy = array.arrayNode();
            array.forEach(item -> reversedCopy.add(withFieldsReversed(item)));
            return reversedCopy;
        }
        return node;
    }

    private static String digestOf(JsonNode tree) throws InvalidConfigurationException {
        return ConfigurationDocument.parse(Scenarios.toJson(tree)).digest();
    }

    @Test
    void digestDependsOnValuesButNotOnFieldOrderOrNumberFormat() throws InvalidConfigurationException {
        String digest = digestOf(Scenarios.baseDocument());
        assertThat(digest).matches("[0-9a-f]{64}");
        assertThat(digestOf(withFieldsReversed(Scenarios.baseDocument()))).isEqualTo(digest);
        assertThat(digestOf(Scenarios.baseDocument().put("config_version", 12.0)))
                .isEqualTo(digest);
        assertThat(digestOf(Scenarios.baseDocument().put("config_version", 13))).isNotEqualTo(digest);
        assertThat(digestOf(Scenarios.baseDocument().put("more", "null")))
                .isNotEqualTo(digestOf(Scenarios.baseDocument().putNull("more")));
        assertThat(digestOf(Scenarios.baseDocument().put("more", "1")))
                .isNotEqualTo(digestOf(Scenarios.baseDocument().put("more", 1)));
        assertThat(digestOf(Scenarios.baseDocument().put("more", "\ud800")))
                .isNotEqualTo(digestOf(Scenarios.baseDocument().put("more", "\ud801")));
        ObjectNode withTenantsSwapped = Scenarios.baseDocument();
        ArrayNode tenants = withTenantsSwapped.withArray("tenants");
        tenants.add(tenants.remove(0));
        assertThat(digestOf(withTenantsSwapped)).isNotEqualTo(digest);
    }

    @Test
    void trustedParsingReadsTheSameContentAsValidation() throws InvalidConfigurationException {
        ConfigurationDocument document = ConfigurationDocument.parse(Scenarios.readResource("base.json"));
        Configuration trusted = ConfigurationDocument.parseTrusted(document.json());
        assertThat(trusted).isEqualTo(document.configuration());
        Route splitRoute = trusted.routes().get(1);
        assertThat(splitRoute.trafficSplit()).containsExactly(new Split("finder", 0), new Split("writer", 2.5));
        assertThat(trusted.routes().get(2).isPublic()).isTrue();
        assertThat(trusted.routes().get(2).type()).isEqualTo(RouteType.STREAMING);
        assertThat(trusted.services().get(1).engine().models().get(0).name()).isEqualTo("m-small");
        assertThat(trusted.services().get(2).kvStore()).isEqualTo("192.0.2.7:9000");
        assertThat(trusted.tenants().get(1).priority()).isNull();
        assertThat(trusted.limits()).isEqualTo(new Limits(8_192, 4_194_304, 3_000, 20_000));
    }

    @Test
    void absentFieldsHaveDefaults() throws InvalidConfigurationException {
        Configuration empty = ConfigurationDocument.parseTrusted(utf8("{\"config_version\":4}"));
        assertThat(empty.routes()).isEmpty();
        assertThat(empty.services()).isEmpty();
        assertThat(empty.tenants()).isEmpty();
        assertThat(empty.limits()).isEqualTo(new Limits(16_384, 4_194_304, 3_000, 15_000));
        Route route = ConfigurationDocument.parseTrusted(utf8("{\"routes\":[{\"timeout_ms\":70}]}"))
                .routes()
                .get(0);
        assertThat(route.retries()).isEqualTo(1);
        assertThat(route.priority()).isZero();
        assertThat(route.isPublic()).isFalse();
        assertThat(route.type()).isEqualTo(RouteType.NON_IDEMPOTENT);
        assertThat(route.targetLatencyMillis()).isEqualTo(70);
    }

    @Test
    void warmUpValidationSucceeds() {
        assertThatCode(ConfigurationDocument::warmUpValidation).doesNotThrowAnyException();
    }

    @Test
    void supersedesOnlyLowerVersions() throws InvalidConfigurationException {
        ConfigurationDocument document = ConfigurationDocument.parse(Scenarios.readResource("base.json"));
        assertThat(document.supersedes(0)).isTrue();
        assertThat(document.supersedes(11)).isTrue();
        assertThat(document.supersedes(12)).isFalse();
        assertThat(document.supersedes(13)).isFalse();
    }
}
