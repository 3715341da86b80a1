package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Split;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that requests are distributed over the services of a route by weight. */
class TrafficSplitterTest {
    private static Route route(String service, Split... splits) {
        return new Route("r", "h", "/", null, 1, 1, 0, service, List.of(splits), 1, false, false, false, 0);
    }

    @Test
    void servicesArePickedInProportionToTheirWeights() {
        Route route = route(
                "unused",
                new Split("none", 0),
                new Split("most", 7.5),
                new Split("zero", 0),
                new Split("some", 2.5),
                new Split("last", 0));
        Random random = new Random(9);
        Map<String, Integer> counts = new HashMap<>();
        int picks = 100_000;
        for (int i = 0; i < picks; i++) {
            counts.merge(TrafficSplitter.pick(route, random.nextLong()), 1, Integer::sum);
        }
        assertThat(counts).containsOnlyKeys("most", "some");
        assertThat((double) counts.get("most") / picks).isCloseTo(0.75, within(0.01));
    }

    @Test
    void equalHashesPickTheSameServiceAndNeverOneOfWeightZero() {
        Route route = route(null, new Split("none", 0), new Split("only", 1e-9), new Split("last", 0));
        for (long hash : new long[] {0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE}) {
            assertThat(TrafficSplitter.pick(route, hash)).isEqualTo("only");
        }
        Route evenSplit = route(null, new Split("first", 1), new Split("second", 1));
        assertThat(TrafficSplitter.pick(evenSplit, 0)).isEqualTo("first");
        assertThat(TrafficSplitter.pick(evenSplit, -1)).isEqualTo("second");
        assertThat(TrafficSplitter.pick(evenSplit, 77)).isEqualTo(TrafficSplitter.pick(evenSplit, 77));
    }

    @Test
    void routeWithoutSplitPicksItsService() {
        assertThat(TrafficSplitter.pick(route("single"), -7)).isEqualTo("single");
    }
}
