package burlarch.routing.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final double RATIO = 0.2;
    private static final int SLACK = 54;

    private record Arrival(long at, boolean further) {}

    @Test
    void allRoutersTogetherKeepToTheBudgetInEveryWindow() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            RetryBudget[] routers = new RetryBudget[5];
            for (int i = 0; i < routers.length; i++) {
                routers[i] = new RetryBudget(RATIO, 10, SLACK);
                routers[i].onLiveRouters(routers.length, 0);
            }
            List<Arrival> arrivals = new ArrayList<>();
            for (long now = 0; now < 60 * SECOND; now += 20_000_000L) {
                RetryBudget router = routers[random.nextInt(routers.length)];
                // A calm and a wild half in turn: bursts must not live on a window that is over.
                if (random.nextInt(now / SECOND % 20 < 10 ? 1 : 10) == 0) {
                    router.onFirstSend(now);
                    arrivals.add(new Arrival(now, false));
                }
                while (router.allows(now)) {
                    router.onRetry(now);
                    arrivals.add(new Arrival(now, true));
                }
            }
            for (Arrival start : arrivals) {
                long until = start.at() + 10 * SECOND;
                long further = arrivals.stream()
                        .filter(Arrival::further)
                        .filter(a -> a.at() >= start.at() && a.at() < until)
                        .count();
                long first = arrivals.stream()
                        .filter(a -> !a.further())
                        .filter(a -> a.at() >= start.at() && a.at() < until)
                        .count();
                long firstBefore = arrivals.stream()
                        .filter(a -> !a.further())
                        .filter(a -> a.at() >= start.at() - 10 * SECOND && a.at() < start.at())
                        .count();
                double allowed = RATIO * Math.max(first, firstBefore) + SLACK;
                assertThat((double) further).isLessThanOrEqualTo(allowed);
            }
        }
    }

    @Test
    void aFallOfTheCountOfRoutersIsBelievedLate() {
        RetryBudget budget = new RetryBudget(RATIO, 10, SLACK);
        budget.onLiveRouters(27, 0);
        budget.onLiveRouters(1, SECOND);
        assertThat(sends(budget, SECOND)).isEqualTo(1);
        assertThat(sends(budget, 60 * SECOND)).isEqualTo(27);
    }

    private static int sends(RetryBudget budget, long now) {
        int sends = 0;
        while (budget.allows(now)) {
            budget.onRetry(now);
            sends++;
        }
        return sends;
    }
}
