package burlarch.routing;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

class CacheSaltTest {
    private static Tenant isolated(String name) {
        return new Tenant(name, List.of("key"), null, true);
    }

    @Test
    void separatorsWithinNamesDoNotMakeDifferentPartsCollide() {
        assertThat(CacheSalt.of("m|1", 2, null, "e")).isNotEqualTo(CacheSalt.of("m", 1, isolated("2"), "e"));
        assertThat(CacheSalt.of("m", 1, isolated("a|b"), "e")).isNotEqualTo(CacheSalt.of("m|1", 1, isolated("b"), "e"));
        assertThat(CacheSalt.of("m%7C1", 2, null, "e")).isNotEqualTo(CacheSalt.of("m|1", 2, null, "e"));
    }

    @Test
    void aQuestionMarkInANameIsNotAnUnknownVersion() {
        assertThat(CacheSalt.isOfUnknownVersion(CacheSalt.of("which?", 1, isolated("who?"), "e")))
                .isFalse();
        assertThat(CacheSalt.isOfUnknownVersion(CacheSalt.of("m", 0, null, "e")))
                .isTrue();
    }

    @Test
    void saltsOfOneModelAndVersionHaveOneGroup() {
        assertThat(CacheSalt.group(CacheSalt.of("a|b", 1, isolated("t"), "e")))
                .isEqualTo(CacheSalt.group(CacheSalt.of("a|b", 1, null, "e")));
        assertThat(CacheSalt.group(CacheSalt.of("a|b", 1, null, "e")))
                .isNotEqualTo(CacheSalt.group(CacheSalt.of("a|b", 2, null, "e")));
    }

    @Test
    void ordinaryNamesAreNotEscapedInTheSalt() {
        assertThat(CacheSalt.of("model-1", 3, isolated("tenant"), "e")).isEqualTo("model-1|3|tenant");
    }
}
