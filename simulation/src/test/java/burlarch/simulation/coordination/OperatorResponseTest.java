package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.CallMessages.ControlRequest;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ControlAction;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies the status that complete controllers return for each kind of operator call, as in the control API table. */
class OperatorResponseTest {
    private static final String PLAN =
            "fleet seed=1 controllers=3 spares=0 routers=1 operators=0 engines=0 tolerance=1 seconds=60";
    private static final long CURRENT_VERSION = 5;
    private static final long RESPONSE_TIMEOUT_NANOS = Simulation.SECOND;
    private static final String VALID_CONFIGURATION =
            """
            {"config_version":%d,"routes":[{"name":"r1","hostname":"h.example","path_prefix":"/1/",
            "route_type":"idempotent","timeout_ms":1000,"traffic_split":[{"service":"s1","weight":90}]},
            {"name":"r2","hostname":"h.example","path_prefix":"/2/","route_type":"idempotent",
            "timeout_ms":800,"service":"s1"}],"services":[{"name":"s1"}],"limits":{},"tenants":[
            {"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]}],"mark":"%s"}""";

    /** Ways in which the bench makes a change invalid, each with the expected status. */
    private enum InvalidChange {
        CUT_SHORT(400) {
            @Override
            ControlAction.Put basedOn(long currentVersion) {
                byte[] validBody = body(currentVersion + 2, "bad");
                return new ControlAction.Put(Arrays.copyOf(validBody, validBody.length / 2), currentVersion);
            }
        },
        UNKNOWN_SERVICE(400, "\"service\":\"s1\"}]", "\"service\":\"s9\"}]"),
        SAME_PLACE(400, "/2/", "/1/"),
        NO_WEIGHT(400, "\"weight\":90", "\"weight\":0"),
        NO_TIMEOUT(400, "\"timeout_ms\":800", "\"timeout_ms\":0"),
        SHARED_KEY(400, "k2", "k1"),
        OLD_VERSION(400) {
            @Override
            ControlAction.Put basedOn(long currentVersion) {
                return put(currentVersion, currentVersion - 2, "bad");
            }
        },
        SAME_VERSION(400) {
            @Override
            ControlAction.Put basedOn(long currentVersion) {
                return put(currentVersion, currentVersion, "bad");
            }
        },
        STALE_MATCH(412) {
            @Override
            ControlAction.Put basedOn(long currentVersion) {
                return put(currentVersion - 2, currentVersion + 2, "bad");
            }
        };

        private final int status;
        private final String original;
        private final String replacement;

        InvalidChange(int status) {
            this(status, "", "");
        }

        InvalidChange(int status, String original, String replacement) {
            this.status = status;
            this.original = original;
            this.replacement = replacement;
        }

        ControlAction.Put basedOn(long currentVersion) {
            String body =
                    new String(body(currentVersion + 2, "bad"), StandardCharsets.UTF_8).replace(original, replacement);
            return new ControlAction.Put(body.getBytes(StandardCharsets.UTF_8), currentVersion);
        }
    }

    /** Simulated node that sends calls and records the responses. */
    private final class Caller implements SimulatedNode {
        private final NodeContext context;
        private final Map<Long, Long> sentAt = new HashMap<>();
        private final Map<Long, Integer> statuses = new HashMap<>();
        private byte[] read = {};
        private long calls;

        Caller(NodeContext context) {
            this.context = context;
        }

        long send(int controller, ControlAction action) {
            long id = ++calls;
            sentAt.put(id, simulation.now());
            context.send(FleetNames.controllerAddress(controller), new ControlRequest(id, action));
            return id;
        }

        @Override
        public void start(long now) {
            // Sends only when the test calls it.
        }

        @Override
        public void onMessage(String from, Object message, long now) {
            ControlResponse response = (ControlResponse) message;
            assertThat(simulation.now() - sentAt.get(response.id())).isLessThan(RESPONSE_TIMEOUT_NANOS);
            statuses.put(response.id(), response.status());
            read = response.body();
        }

        @Override
        public void onTimer(long now) {
            // Sets no timers.
        }
    }

    private final CoordinationFleet fleet = new CoordinationFleet(FleetPlan.parse(PLAN), ComponentOverrides.NONE);
    private final Simulation simulation = fleet.simulation();
    private Caller caller;

    private static byte[] body(long version, String mark) {
        return VALID_CONFIGURATION.formatted(version, mark).getBytes(StandardCharsets.UTF_8);
    }

    private static ControlAction.Put put(long ifMatch, long version, String mark) {
        return new ControlAction.Put(body(version, mark), ifMatch);
    }

    private static ControlAction.Patch patch(long ifMatch, long version) {
        String body = "{\"config_version\":" + version + ",\"delete\":{\"routes\":[\"r2\"]}}";
        return new ControlAction.Patch(body.getBytes(StandardCharsets.UTF_8), ifMatch);
    }

    @BeforeEach
    void start() {
        simulation.addMachine("caller", "10.0.9.1:7340", context -> caller = new Caller(context));
        simulation.start("caller");
        fleet.startAll();
        simulation.runUntil(6 * Simulation.SECOND);
        assertThat(call(1, put(0, 3, "first"))).isEqualTo(200);
        assertThat(call(2, put(3, CURRENT_VERSION, "second"))).isEqualTo(200);
    }

    private int call(int controller, ControlAction action) {
        long id = caller.send(controller, action);
        simulation.runFor(RESPONSE_TIMEOUT_NANOS);
        return caller.statuses.getOrDefault(id, 0);
    }

    private List<Integer> callAll(List<ControlAction> actions) {
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < actions.size(); i++) {
            ids.add(caller.send(1 + i % 3, actions.get(i)));
        }
        simulation.runFor(RESPONSE_TIMEOUT_NANOS);
        return ids.stream().map(id -> caller.statuses.getOrDefault(id, 0)).toList();
    }

    private String configuration() {
        assertThat(call(3, new ControlAction.Read())).isEqualTo(200);
        return text(caller.read);
    }

    /** Decodes JSON without its line breaks, which controllers do not keep. */
    private static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8).replace("\n", "");
    }

    private void restartAll() {
        for (int i = 1; i <= 3; i++) {
            fleet.losePower(FleetNames.controller(i));
        }
        simulation.runFor(Simulation.SECOND);
        fleet.startAll();
        simulation.runFor(6 * Simulation.SECOND);
    }

    @ParameterizedTest
    @EnumSource(InvalidChange.class)
    void invalidChangeIsRejectedByEachController(InvalidChange invalidChange) {
        for (int controller = 1; controller <= 3; controller++) {
            assertThat(call(controller, invalidChange.basedOn(CURRENT_VERSION))).isEqualTo(invalidChange.status);
        }
        assertThat(configuration()).isEqualTo(text(body(CURRENT_VERSION, "second")));
    }

    /** The changes are sent at once, with the same base version, in both orders, and again afterwards. */
    @ParameterizedTest
    @EnumSource(InvalidChange.class)
    void invalidChangeIsRejectedWhenSentWithValidChange(InvalidChange invalidChange) {
        ControlAction valid = put(CURRENT_VERSION, 7, "third");
        List<Integer> statuses =
                callAll(List.of(invalidChange.basedOn(CURRENT_VERSION), valid, invalidChange.basedOn(CURRENT_VERSION)));
        assertThat(statuses.get(1)).isEqualTo(200);
        assertThat(statuses.get(0)).isBetween(400, 499);
        assertThat(statuses.get(2)).isBetween(400, 499);
        assertThat(call(3, invalidChange.basedOn(CURRENT_VERSION))).isBetween(400, 499);
        restartAll();
        assertThat(call(1, invalidChange.basedOn(CURRENT_VERSION))).isBetween(400, 499);
        assertThat(call(2, valid)).isEqualTo(200);
    }

    /** The same call runs several times at once at all controllers: it is applied once and never rejected. */
    @Test
    void concurrentRepeatedCallsAreAppliedOnce() {
        ControlAction change = put(CURRENT_VERSION, 7, "third");
        List<Integer> statuses = callAll(List.of(change, change, change, change, change, change));
        assertThat(statuses).contains(200).allMatch(status -> status == 200 || status == 503);
        assertThat(call(1, change)).isEqualTo(200);
        assertThat(call(2, put(CURRENT_VERSION, 7, "other"))).isEqualTo(412);
    }

    @Test
    void exactlyOneOfSeveralChangesWithSameBaseIsApplied() {
        List<ControlAction> changes = List.of(
                put(CURRENT_VERSION, 7, "a"),
                put(CURRENT_VERSION, 7, "b"),
                patch(CURRENT_VERSION, 7),
                put(CURRENT_VERSION, 8, "a"),
                patch(CURRENT_VERSION, 8));
        callAll(changes);
        List<Integer> statuses = callAll(changes);
        assertThat(statuses).containsOnlyOnce(200);
        assertThat(statuses.stream().filter(status -> status == 412).count()).isEqualTo(changes.size() - 1);
        restartAll();
        assertThat(callAll(changes)).isEqualTo(statuses);
    }

    /** An applied change is recognised after later changes were based on it, and after restarts. */
    @Test
    void repeatedAppliedChangeIsAcknowledged() {
        ControlAction change = patch(CURRENT_VERSION, 7);
        assertThat(call(1, change)).isEqualTo(200);
        for (int i = 0; i < 5; i++) {
            assertThat(call(1 + i % 3, put(7 + i, 8 + i, "later"))).isEqualTo(200);
            assertThat(call(1 + i % 2, change)).isEqualTo(200);
        }
        restartAll();
        assertThat(call(3, change)).isEqualTo(200);
        assertThat(call(3, put(CURRENT_VERSION, 7, "other"))).isEqualTo(412);
    }

    /** A caller may repeat a change after hundreds of other changes. */
    @Test
    void repeatedAppliedChangeIsAcknowledgedAfterHundredsOfOthers() {
        ControlAction change = put(CURRENT_VERSION, 7, "third");
        assertThat(call(1, change)).isEqualTo(200);
        for (int i = 0; i < 400; i++) {
            assertThat(call(1 + i % 3, patch(7 + i, 8 + i))).isEqualTo(200);
        }
        restartAll();
        assertThat(call(2, change)).isEqualTo(200);
        assertThat(call(3, put(CURRENT_VERSION, 7, "other"))).isEqualTo(412);
    }

    /** A retry may still apply the change once its base is applied, so neither 200 nor 412 would stay true. */
    @Test
    void changeBasedOnPendingChangeIsUnclearUntilThatIsApplied() {
        ControlAction next = put(7, 9, "fourth");
        assertThat(call(1, next)).isEqualTo(503);
        assertThat(call(2, put(CURRENT_VERSION, 7, "third"))).isEqualTo(200);
        assertThat(call(3, next)).isEqualTo(200);
    }

    /** One controller alone acknowledges nothing, but still rejects a change that is invalid in any state. */
    @Test
    void withoutQuorumNoCallIsAcknowledged() {
        fleet.kill(FleetNames.controller(2));
        fleet.kill(FleetNames.controller(3));
        assertThat(call(1, put(CURRENT_VERSION, 7, "third"))).isEqualTo(503);
        assertThat(call(1, put(3, CURRENT_VERSION, "second"))).isEqualTo(503);
        assertThat(call(1, put(3, 7, "stale"))).isEqualTo(503);
        assertThat(call(1, new ControlAction.Read())).isEqualTo(503);
        assertThat(call(1, new ControlAction.NameWeights("m", 1))).isEqualTo(503);
        assertThat(call(1, put(CURRENT_VERSION, CURRENT_VERSION, "same"))).isEqualTo(400);
    }

    @Test
    void repeatedWeightsAreAcknowledgedAfterNewerWeights() {
        assertThat(call(1, new ControlAction.NameWeights("m", 2))).isEqualTo(200);
        assertThat(call(2, new ControlAction.NameWeights("m", 2))).isEqualTo(200);
        assertThat(call(3, new ControlAction.NameWeights("m", 1))).isEqualTo(200);
        assertThat(call(1, new ControlAction.NameWeights("m", 0))).isEqualTo(400);
        restartAll();
        assertThat(call(3, new ControlAction.NameWeights("m", 1))).isEqualTo(200);
        assertThat(call(1, new ControlAction.NameWeights("m", 3))).isEqualTo(200);
    }
}
