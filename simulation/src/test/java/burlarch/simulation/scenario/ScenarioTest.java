package burlarch.simulation.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the parsing of scenarios, the duration of their faults and the report of failed expectations. */
class ScenarioTest {
    /** Simulated node that counts the messages that it receives. */
    private static final class MessageCounter implements SimulatedNode {
        private int received;

        @Override
        public void start(long now) {}

        @Override
        public void onMessage(String from, Object message, long now) {
            received++;
        }

        @Override
        public void onTimer(long now) {}
    }

    /** Simulated node that sends a message every 100 ms. */
    private record PeriodicSender(NodeContext context, String to) implements SimulatedNode {
        @Override
        public void start(long now) {
            onTimer(now);
        }

        @Override
        public void onMessage(String from, Object message, long now) {}

        @Override
        public void onTimer(long now) {
            context.send(to, "tick");
            context.setTimer(now + 100 * Simulation.MILLISECOND);
        }
    }

    private static List<String> play(String text) {
        Simulation simulation = new Simulation(1, new NetworkSettings(0, 0, 0, 0));
        simulation.addMachine("sender", "10.0.0.1:1", context -> new PeriodicSender(context, "10.0.0.2:1"));
        simulation.addMachine("counter-1", "10.0.0.2:1", context -> new MessageCounter());
        simulation.addMachine("counter-2", "10.0.0.3:1", context -> new MessageCounter());
        ExpectationEvaluator evaluator = (node, verb, words) ->
                verb.equals("got") && ((MessageCounter) node).received == Integer.parseInt(words.get(0));
        return new ScenarioRunner(simulation, Scenario.parse(text), evaluator).run();
    }

    @Test
    void fulfilledExpectationReportsNoFailure() {
        assertThat(play("at 0 start all\nexpect by 0.95 counter-1 got 10 # ten\n" + "expect by 2 counter-2 got 0"))
                .isEmpty();
    }

    @Test
    void failedExpectationIsReportedWithLineNumber() {
        assertThat(play("\nat 0 start all\n\nexpect by 1 counter-* got 10"))
                .singleElement()
                .asString()
                .startsWith("line 4: counter-* got 10")
                .contains("counter-");
        assertThat(play("at 0 start all\nexpect from 0.95 to 2 counter-1 got 10"))
                .hasSize(1);
    }

    @Test
    void partitionsFreezesAndKillsLastForTheirDuration() {
        assertThat(play("at 0 start all\nat 0.45 cut sender to others for 0.2\n" + "expect by 0.95 counter-1 got 8"))
                .isEmpty();
        assertThat(play("at 0 start all\nat 0.45 cut counter-1 to sender\n" + "expect by 0.95 counter-1 got 10"))
                .isEmpty();
        assertThat(play("at 0 start all\nat 0.45 cut counter-1 from sender\nat 0.75 heal\n"
                        + "expect by 0.95 counter-1 got 7"))
                .isEmpty();
        assertThat(play("at 0 start all\nat 0.45 kill counter-1 for 0.1\n" + "expect by 0.95 counter-1 got 4"))
                .isEmpty();
        assertThat(play("at 0 start all\nat 0.45 freeze sender for 0.3\n" + "expect by 0.99 counter-1 got 8"))
                .isEmpty();
        assertThat(play("at 0 start all\nat 0.45 loss 1 for 0.2\nexpect by 0.95 counter-1 got 8"))
                .isEmpty();
    }

    @Test
    void malformedTextIsRejectedWithLineNumber() {
        for (String text : new String[] {
            "at 0 start all\nfoo",
            "at 0 start all\nat x start all",
            "at 0 start all\nexpect soon all got 1",
            "at 0 start all\nat 1"
        }) {
            assertThatThrownBy(() -> Scenario.parse(text))
                    .hasMessageContaining("line 2")
                    .isInstanceOf(IllegalArgumentException.class);
        }
        assertThatThrownBy(() -> play("at 0 start nobody")).hasMessageContaining("nobody");
        assertThatThrownBy(() -> play("at 0 start all\nat 1 explode 5")).hasMessageContaining("explode");
    }
}
