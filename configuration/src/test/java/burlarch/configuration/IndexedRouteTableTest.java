package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Route;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which route matches a host and path, and which tenant owns an API key. */
class IndexedRouteTableTest {
    /** Returns the table of a configuration with one route for each host and prefix, named after both. */
    private static RouteTable table(List<String> hosts, List<String> prefixes) throws InvalidConfigurationException {
        ObjectNode tree = JsonNodeFactory.instance.objectNode().put("config_version", 1);
        ArrayNode routes = tree.putArray("routes");
        for (String host : hosts) {
            for (String prefix : prefixes) {
                routes.addObject()
                        .put("name", host + prefix)
                        .put("hostname", host)
                        .put("timeout_ms", 1)
                        .put("path_prefix", prefix)
                        .put("service", "only");
            }
        }
        tree.putArray("services").addObject().put("name", "only");
        return IndexedRouteTable.of(
                ConfigurationDocument.parse(Scenarios.toJson(tree)).configuration());
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            value = {
                "a.test, /, a.test/",
                "a.test, /x, a.test/",
                "a.test, /b, a.test/",
                "a.test, /b/, a.test/b/",
                "a.test, /b/cc, a.test/b/",
                "a.test, /b/c/, a.test/b/c/",
                "a.test, /b/c/d/e?f=/g/, a.test/b/c/",
                "a.test, /?q=/b/c/, a.test/",
                "a.test, /b?/, a.test/",
                "a.test, /bb/c/, a.test/",
                "a.test, //b/c/, a.test/",
                "A.TEST, /B/c/, a.test/",
                "a.Test:8080, /b/, a.test/b/",
                "a.test, '', none",
                "a.test, b/c/, none",
                "a.test, ?/b/, none",
                "a.test, *, none",
                "b.test, /b/, none",
                "none, /b/, none",
                "a.test, none, none",
                "a.test., /, none",
                "'', /, none",
            })
    void matchesTheRouteWithTheLongestPrefix(String host, String path, String expected)
            throws InvalidConfigurationException {
        Route route = table(List.of("a.test"), List.of("/", "/b/", "/b/c/")).match(host, path);
        assertThat(route == null ? null : route.name()).isEqualTo(expected);
    }

    @Test
    void pathsOutsideEveryPrefixHaveNoRoute() throws InvalidConfigurationException {
        RouteTable table = table(List.of("Upper.test"), List.of("/b/"));
        assertThat(table.match("upper.test", "/")).isNull();
        assertThat(table.match("upper.test", "/b")).isNull();
        assertThat(table.match("upper.test", "/b/" + "c/".repeat(8_000))).isNotNull();
    }

    @Test
    void matchesTheSameRoutesAsALinearScan() throws InvalidConfigurationException {
        Random random = new Random(4);
        List<String> prefixes = new ArrayList<>(List.of("/"));
        while (prefixes.size() < 1_000) {
            String prefix = randomPath(random) + "/";
            if (!prefixes.contains(prefix)) {
                prefixes.add(prefix);
            }
        }
        RouteTable table = table(List.of("a.test", "b.test"), prefixes);
        for (int i = 0; i < 5_000; i++) {
            String path = randomPath(random) + (random.nextBoolean() ? "/" : "");
            String longestPrefix = prefixes.stream()
                    .filter(path::startsWith)
                    .max(Comparator.comparingInt(String::length))
                    .orElseThrow();
            assertThat(table.match("b.test", path).name()).as(path).isEqualTo("b.test" + longestPrefix);
        }
    }

    private static String randomPath(Random random) {
        StringBuilder path = new StringBuilder();
        int segments = 1 + random.nextInt(5);
        for (int i = 0; i < segments; i++) {
            path.append('/').append((char) ('a' + random.nextInt(5)));
        }
        return path.toString();
    }

    @Test
    void findsTheTenantThatOwnsAKey() throws InvalidConfigurationException {
        RouteTable table =
                IndexedRouteTable.of(ConfigurationDocument.parseTrusted(Scenarios.readResource("base.json")));
        assertThat(table.requiresKey()).isTrue();
        assertThat(table.tenantOf("key-r2").name()).isEqualTo("red");
        assertThat(table.tenantOf("key-g").name()).isEqualTo("green");
        assertThat(table.tenantOf("KEY-G")).isNull();
        assertThat(table.tenantOf("")).isNull();
        assertThat(table.tenantOf(null)).isNull();
        assertThat(table(List.of("a.test"), List.of("/")).requiresKey()).isFalse();
    }
}
