package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that patches are parsed, digested and applied to a base document. */
class ConfigurationPatchTest {
    /** Parses a patch whose JSON is written with single quotes. */
    private static ConfigurationPatch parse(String json) throws InvalidConfigurationException {
        return ConfigurationPatch.parse(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    static Stream<Arguments> patches() {
        return StreamSupport.stream(
                        Scenarios.parseTree(Scenarios.readResource("patches.json"))
                                .spliterator(),
                        false)
                .map(scenario -> Arguments.of(scenario.path("name").asText(), scenario));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("patches")
    void appliesEachScenarioOrReportsItsProblem(String name, JsonNode scenario) throws InvalidConfigurationException {
        ConfigurationDocument base = ConfigurationDocument.parse(Scenarios.readResource("base.json"));
        byte[] baseJsonBefore = base.json();
        byte[] sent = Scenarios.toJson(scenario.get("patch"));
        List<String> expected = Scenarios.expectedProblemFields(scenario);
        assertThat(Scenarios.problemFields(() -> ConfigurationPatch.parse(sent).applyTo(base)))
                .isEqualTo(expected);
        assertThat(base.json()).isEqualTo(baseJsonBefore);
        if (expected.isEmpty()) {
            ConfigurationDocument changed = ConfigurationPatch.parse(sent).applyTo(base);
            JsonNode tree = Scenarios.parseTree(changed.json());
            scenario.get("expected").properties().forEach(field -> assertThat(
                            field.getValue().isNull()
                                    ? tree.at(field.getKey()).isMissingNode()
                                    : tree.at(field.getKey()).equals(field.getValue()))
                    .as(field.getKey())
                    .isTrue());
            assertThat(changed.version())
                    .isEqualTo(ConfigurationPatch.parse(sent).version());
        }
    }

    @Test
    void applyingAPatchTwiceGivesTheSameResult() throws InvalidConfigurationException {
        ConfigurationDocument base = ConfigurationDocument.parse(Scenarios.readResource("base.json"));
        ConfigurationPatch patch = parse("{'config_version':15,'routes':[],'upsert':{'routes':[{'name':'n',"
                + "'hostname':'h','path_prefix':'/','timeout_ms':1,'service':'finder'}]}}");
        String digest = patch.digest();
        byte[] firstResult = patch.applyTo(base).json();
        assertThat(patch.applyTo(base).json()).isEqualTo(firstResult);
        assertThat(patch.digest()).isEqualTo(digest);
        assertThat(patch.applyTo(base).configuration().routes()).hasSize(1);
    }

    @Test
    void digestDependsOnTheOrderOfItemsButNotOfFields() throws InvalidConfigurationException {
        String digest =
                parse("{'config_version':15,'delete':{'routes':['a','b']}}").digest();
        assertThat(parse("{'delete':{'routes':['a','b']},'config_version':15}").digest())
                .isEqualTo(digest);
        assertThat(parse("{'delete':{'routes':['b','a']},'config_version':15}").digest())
                .isNotEqualTo(digest);
    }

    @Test
    void rejectsEveryTruncatedPatch() {
        String completeJson = "{'config_version':15,'upsert':{'services':[{'name':'a'}]},'delete':{'routes':['b']}}";
        assertThat(Scenarios.problemFields(() -> parse(completeJson))).isEmpty();
        for (int length = 0; length < completeJson.length(); length++) {
            String truncatedJson = completeJson.substring(0, length);
            assertThat(Scenarios.problemFields(() -> parse(truncatedJson)))
                    .as(truncatedJson)
                    .isNotEmpty();
        }
    }

    @Test
    void supersedesOnlyLowerVersions() throws InvalidConfigurationException {
        assertThat(parse("{'config_version':15}").supersedes(14)).isTrue();
        assertThat(parse("{'config_version':15}").supersedes(15)).isFalse();
    }
}
