package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Verifies that partitioned, frozen or outdated routers stop accepting keys before the revocation limit passes. */
class RevocationTest {
    /** From this seed on, some runs partition a router while a change is acknowledged; none with a lower seed does. */
    private static final int FIRST_SEED = 26;

    private static final int LAST_SEED = 50;

    private static final ComponentOverrides LIMITED_KEY_VALIDITY = new ComponentOverrides() {
        @Override
        public OptionalLong keyValidityNanos() {
            return OptionalLong.of(FleetTimings.REVOKE_LIMIT_NANOS);
        }
    };

    private static final ComponentOverrides ALWAYS_ACCEPTS = new ComponentOverrides() {
        @Override
        public OptionalLong keyValidityNanos() {
            return LIMITED_KEY_VALIDITY.keyValidityNanos();
        }

        @Override
        public boolean acceptsKeys(boolean real) {
            return true;
        }
    };

    static LongStream seeds() {
        return LongStream.rangeClosed(FIRST_SEED, LAST_SEED);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRouterAcceptsRevokedKeysForLongerThanAllowed(long seed) {
        CoordinationScenario scenario = CoordinationSearch.scenario(seed);
        assertThat(CoordinationRun.play(scenario, LIMITED_KEY_VALIDITY).violations())
                .as("seed %d\n%s", seed, scenario)
                .isEmpty();
    }

    @Test
    void searchFindsRoutersThatAlwaysAcceptKeys() {
        boolean found = seeds().anyMatch(seed ->
                CoordinationRun.play(CoordinationSearch.scenario(seed), ALWAYS_ACCEPTS).violations().stream()
                        .anyMatch(violation -> violation.rule() == Rule.REVOKED_IN_TIME));
        assertThat(found).isTrue();
    }
}
