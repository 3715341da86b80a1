package burlarch.controller.state;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the outcomes of changes, in particular of repeated, conflicting and outdated ones. */
class StateChangesTest {
    private static final String DOCUMENT =
            """
            {"config_version": %d, "routes": [{"name": "r", "hostname": "h.example", "path_prefix": "/%s/",
            "route_type": "idempotent", "timeout_ms": 500, "service": "s"}], "services": [{"name": "s"}],
            "limits": {"max_header_bytes": 1000, "max_body_bytes": 1000, "header_timeout_ms": 100,
            "idle_timeout_ms": 100}}""";
    private static final String PATCH = """
            {"config_version": %d, "delete": {"services": ["%s"]}}""";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ChangeResult put(SystemState state, long ifMatch, long version, String prefix)
            throws InvalidConfigurationException {
        ConfigurationDocument document = ConfigurationDocument.parse(bytes(DOCUMENT.formatted(version, prefix)));
        return StateChanges.putConfiguration(state, ifMatch, document, document.digest());
    }

    private static ChangeResult patch(SystemState state, long ifMatch, long version, String service)
            throws InvalidConfigurationException {
        ConfigurationPatch patch = ConfigurationPatch.parse(bytes(PATCH.formatted(version, service)));
        return StateChanges.patchConfiguration(state, ifMatch, patch, patch.digest());
    }

    private static SystemState changedState(ChangeResult result) {
        return ((Changed) result).state();
    }

    /** A state to which version 3, and then version 7 based on it, were applied. */
    private static SystemState stateAt7() throws InvalidConfigurationException {
        SystemState stateAt3 = changedState(put(SystemState.EMPTY, 0, 3, "a"));
        return changedState(put(stateAt3, 3, 7, "b"));
    }

    private static String outcomeOf(ChangeResult result) {
        return result instanceof Unchanged unchanged ? unchanged.reason().name() : "CHANGED";
    }

    @ParameterizedTest
    @CsvSource({
        // a repeated change, also after a later one was based on it
        "0, 3, a, ALREADY_APPLIED",
        "3, 7, b, ALREADY_APPLIED",
        // another content or another base version, which is not the current one
        "3, 7, c, CONFLICT",
        "0, 3, c, CONFLICT",
        "3, 9, b, CONFLICT",
        "0, 1, b, CONFLICT",
        "0, 7, b, CONFLICT",
        "5, 7, b, CONFLICT",
        // based on the current version
        "7, 9, c, CHANGED",
        "7, 8, b, CHANGED",
        // no state accepts a version that isn't above its base version, even that of an applied change
        "7, 7, c, INVALID",
        "7, 7, b, INVALID",
        "7, 6, c, INVALID",
        "7, 3, b, INVALID",
        "9, 7, b, INVALID",
        "-1, 9, b, INVALID",
        // based on a version that isn't committed yet: another copy of the call may still be accepted later
        "8, 9, b, UNCLEAR",
    })
    void putOutcomeDependsOnBaseAndVersion(long ifMatch, long version, String prefix, String expected)
            throws InvalidConfigurationException {
        assertThat(outcomeOf(put(stateAt7(), ifMatch, version, prefix))).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "7, 9, none, CHANGED",
        "7, 7, none, INVALID",
        "7, 9, s, INVALID",
        "3, 9, none, CONFLICT",
        "3, 9, s, CONFLICT",
        "9, 11, none, UNCLEAR",
        "9, 9, none, INVALID",
    })
    void patchOutcomeDependsOnBaseAndVersion(long ifMatch, long version, String service, String expected)
            throws InvalidConfigurationException {
        assertThat(outcomeOf(patch(stateAt7(), ifMatch, version, service))).isEqualTo(expected);
    }

    /** The body of a complete configuration is also a valid patch, which keeps the tenants that it doesn't contain. */
    @Test
    void sameBodyAsPutAndAsPatchIsTwoChanges() throws InvalidConfigurationException {
        byte[] body = bytes(DOCUMENT.formatted(9, "c"));
        ConfigurationDocument document = ConfigurationDocument.parse(body);
        ConfigurationPatch patch = ConfigurationPatch.parse(body);
        SystemState stateAt9 = changedState(StateChanges.patchConfiguration(stateAt7(), 7, patch, patch.digest()));
        assertThat(outcomeOf(StateChanges.patchConfiguration(stateAt9, 7, patch, patch.digest())))
                .isEqualTo("ALREADY_APPLIED");
        assertThat(outcomeOf(StateChanges.putConfiguration(stateAt9, 7, document, document.digest())))
                .isEqualTo("CONFLICT");
    }

    /** Two calls with equal content are indistinguishable, so both are acknowledged. */
    @Test
    void equalCallsOfTwoOperatorsAreOneChange() throws InvalidConfigurationException {
        SystemState stateAt9 = changedState(put(stateAt7(), 7, 9, "c"));
        assertThat(outcomeOf(put(stateAt9, 7, 9, "c"))).isEqualTo("ALREADY_APPLIED");
    }

    @Test
    void repeatedPatchIsRecognized() throws InvalidConfigurationException {
        SystemState stateAt9 = changedState(patch(stateAt7(), 7, 9, "none"));
        SystemState stateAt12 = changedState(put(stateAt9, 9, 12, "d"));
        assertThat(stateAt9.configurationVersion()).isEqualTo(9);
        assertThat(outcomeOf(patch(stateAt12, 7, 9, "none"))).isEqualTo("ALREADY_APPLIED");
        assertThat(outcomeOf(patch(stateAt12, 7, 9, "other"))).isEqualTo("CONFLICT");
    }

    @Test
    void patchWithoutConfigurationIsRejected() throws InvalidConfigurationException {
        assertThat(outcomeOf(patch(SystemState.EMPTY, 0, 1, "none"))).isEqualTo("INVALID");
    }

    @Test
    void invalidPatchReportsProblems() throws InvalidConfigurationException {
        Unchanged rejected = (Unchanged) patch(stateAt7(), 7, 9, "s");
        assertThat(rejected.problems()).isNotEmpty();
        assertThat(rejected.failure().kind()).isEqualTo(ErrorKind.INVALID);
        assertThat(rejected.failure().problems()).isEqualTo(rejected.problems());
    }

    /** A client may retry after a lost response when many other changes were applied meanwhile. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100, 400, AppliedChanges.MAX_CHANGES - 1})
    void appliedChangeIsRecognizedAfterManyOthers(int otherChanges) throws InvalidConfigurationException {
        SystemState state = afterOtherChanges(changedState(put(stateAt7(), 7, 9, "a")), otherChanges);
        assertThat(outcomeOf(put(state, 7, 9, "a"))).isEqualTo("ALREADY_APPLIED");
        assertThat(outcomeOf(put(state, 7, 9, "b"))).isEqualTo("CONFLICT");
        assertThat(outcomeOf(put(state, 7, 8, "a"))).isEqualTo("CONFLICT");
        assertThat(outcomeOf(put(SystemStateCodec.decode(SystemStateCodec.encode(state)), 7, 9, "a")))
                .isEqualTo("ALREADY_APPLIED");
    }

    /** The change may have been acknowledged long ago, so a retry must not be rejected. */
    @Test
    void possiblyForgottenChangeIsNeverRejected() throws InvalidConfigurationException {
        SystemState state = afterOtherChanges(changedState(put(stateAt7(), 7, 9, "a")), AppliedChanges.MAX_CHANGES);
        assertThat(state.appliedChanges().size()).isEqualTo(AppliedChanges.MAX_CHANGES);
        assertThat(state.appliedChanges().forgottenVersion()).isEqualTo(9);
        assertThat(outcomeOf(put(state, 7, 9, "a"))).isEqualTo("UNCLEAR");
        assertThat(outcomeOf(put(state, 0, 1, "b"))).isEqualTo("UNCLEAR");
        assertThat(outcomeOf(put(state, 9, 9, "a"))).isEqualTo("INVALID");
        assertThat(outcomeOf(put(state, 9, 11, "a"))).isEqualTo("CONFLICT");
        long current = state.configurationVersion();
        assertThat(outcomeOf(put(state, current, current + 1, "a"))).isEqualTo("CHANGED");
    }

    private static SystemState afterOtherChanges(SystemState firstState, int otherChanges) {
        SystemState state = firstState;
        for (int i = 0; i < otherChanges; i++) {
            long base = state.configurationVersion();
            state = state.withConfiguration(AppliedChange.put(base, base + 2, "other"), state.configuration());
        }
        return state;
    }

    @Test
    void versionsOfWeightsOnlyIncrease() {
        SystemState stateAt2 = changedState(StateChanges.setWeightsVersion(SystemState.EMPTY, "m", 2));
        assertThat(stateAt2.weights()).containsEntry("m", 2L);
        assertThat(outcomeOf(StateChanges.setWeightsVersion(stateAt2, "m", 2))).isEqualTo("ALREADY_APPLIED");
        assertThat(outcomeOf(StateChanges.setWeightsVersion(stateAt2, "m", 1))).isEqualTo("ALREADY_APPLIED");
        assertThat(outcomeOf(StateChanges.setWeightsVersion(stateAt2, "m", 0))).isEqualTo("INVALID");
        assertThat(outcomeOf(StateChanges.setWeightsVersion(stateAt2, "", 1))).isEqualTo("INVALID");
        SystemState otherModel = changedState(StateChanges.setWeightsVersion(stateAt2, "n", 1));
        assertThat(changedState(StateChanges.setWeightsVersion(otherModel, "m", 4))
                        .weights())
                .containsEntry("m", 4L)
                .containsEntry("n", 1L);
    }

    @Test
    void eachNewHolderGetsAHigherToken() {
        SystemState firstState = changedState(StateChanges.takeOwnership(SystemState.EMPTY, "k", "one"));
        assertThat(((Unchanged) StateChanges.takeOwnership(firstState, "k", "one")).reason())
                .isEqualTo(UnchangedReason.ALREADY_APPLIED);
        SystemState secondState = changedState(StateChanges.takeOwnership(firstState, "k", "two"));
        SystemState thirdState = changedState(StateChanges.takeOwnership(secondState, "k", "one"));
        SystemState fourthState = changedState(StateChanges.takeOwnership(thirdState, "l", "one"));
        assertThat(firstState.owners().get("k")).isEqualTo(new Lease("one", 1));
        assertThat(secondState.owners().get("k")).isEqualTo(new Lease("two", 2));
        assertThat(thirdState.owners().get("k")).isEqualTo(new Lease("one", 3));
        assertThat(fourthState.owners())
                .containsEntry("k", new Lease("one", 3))
                .containsEntry("l", new Lease("one", 4));
    }

    @Test
    void numberOfLeasesIsBounded() {
        SystemState state = SystemState.EMPTY;
        for (int i = 0; i < SystemState.MAX_NAMES; i++) {
            state = changedState(StateChanges.takeOwnership(state, "k" + i, "one"));
        }
        assertThat(outcomeOf(StateChanges.takeOwnership(state, "more", "one"))).isEqualTo("INVALID");
        assertThat(outcomeOf(StateChanges.takeOwnership(state, "k0", "two"))).isEqualTo("CHANGED");
    }
}
