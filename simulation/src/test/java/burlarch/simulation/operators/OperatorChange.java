package burlarch.simulation.operators;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/**
 * A configuration change as an operator requests it. Equal changes are the same call, whoever sends them.
 *
 * @param ifMatch version that the change is based on
 * @param mark identifies the content; part of the resulting document
 */
record OperatorChange(Kind kind, long ifMatch, long version, String mark) {
    /** Kind of a change and its effect on the tenants, which show what a patch was applied to. */
    enum Kind {
        /** A whole configuration with one tenant, named as the mark. */
        PUT,
        /** A whole configuration without tenants. */
        BARE_PUT,
        /** Adds a tenant, named as the mark. */
        PATCH,
        /** The body of {@link #BARE_PUT} as a patch, which leaves the tenants as they are. */
        BARE_PATCH,
        /** Deletes a service that a route needs. */
        INVALID_PATCH
    }

    private static final String CONFIGURATION =
            """
            {"config_version": %d, "mark": "%s", "routes": [{"name": "r", "hostname": "h.example",
            "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 500, "service": "s"}],
            "services": [{"name": "s"}], "limits": {}%s}""";
    private static final String TENANTS = """
            "tenants": [{"name": "%s", "api_keys": ["%s"]}]""";
    private static final String PATCH = """
            {"config_version": %d, "mark": "%s", %s}""";

    /** Returns whether the change is invalid in every state. */
    boolean isInvalid() {
        return kind == Kind.INVALID_PATCH || version <= ifMatch || ifMatch == 0 && !isCompleteConfiguration();
    }

    /** Returns whether the change carries a whole configuration. */
    boolean isCompleteConfiguration() {
        return kind == Kind.PUT || kind == Kind.BARE_PUT;
    }

    /** Returns the tenants after the change. */
    Set<String> tenantsAfter(Set<String> before) {
        Set<String> after = new TreeSet<>(isCompleteConfiguration() ? Set.of() : before);
        if (kind == Kind.PUT || kind == Kind.PATCH) {
            after.add(mark);
        }
        return after;
    }

    /** Applies the change to the state by the real code of the controller. */
    ChangeResult applyTo(SystemState state) {
        byte[] body = body().getBytes(StandardCharsets.UTF_8);
        try {
            if (isCompleteConfiguration()) {
                ConfigurationDocument document = ConfigurationDocument.parse(body);
                return StateChanges.putConfiguration(state, ifMatch, document, document.digest());
            }
            ConfigurationPatch patch = ConfigurationPatch.parse(body);
            return StateChanges.patchConfiguration(state, ifMatch, patch, patch.digest());
        } catch (InvalidConfigurationException invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    /** Returns the request body of the change. */
    String body() {
        String tenants = TENANTS.formatted(mark, mark);
        return switch (kind) {
            case PUT -> CONFIGURATION.formatted(version, mark, ", " + tenants);
            case BARE_PUT, BARE_PATCH -> CONFIGURATION.formatted(version, mark, "");
            case PATCH -> PATCH.formatted(version, mark, "\"upsert\": {" + tenants + "}");
            case INVALID_PATCH -> PATCH.formatted(version, mark, "\"delete\": {\"services\": [\"s\"]}");
        };
    }
}
