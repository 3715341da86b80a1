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

    private record Send(long at, boolean isRetry) {}

    @Test
    void allRoutersTogetherStayWithinTheBudgetInEveryWindow() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            RetryBudget[] routers = new RetryBudget[5];
            for (int i = 0; i < routers.length; i++) {
                routers[i] = new RetryBudget(RATIO, 10, SLACK);
                routers[i].onLiveRouters(routers.length, 0);
            }
            List<Send> sends = new ArrayList<>();
            for (long now = 0; now < 60 * SECOND; now += 20_000_000L) {
                RetryBudget router = routers[random.nextInt(routers.length)];
                // Moderate and heavy traffic alternate: a burst must not use the first attempts of a window that is
                // over.
                if (random.nextInt(now / SECOND % 20 < 10 ? 1 : 10) == 0) {
                    router.onFirstSend(now);
                    sends.add(new Send(now, false));
                }
                while (router.allows(now)) {
                    router.onRetry(now);
                    sends.add(new Send(now, true));
                }
            }
            for (Send start : sends) {
                long until = start.at() + 10 * SECOND;
                long retriesInWindow = sends.stream()
                        .filter(Send::isRetry)
                        .filter(send -> send.at() >= start.at() && send.at() < until)
                        .count();
                long firstSendsInWindow = sends.stream()
                        .filter(send -> !send.isRetry())
                        .filter(send -> send.at() >= start.at() && send.at() < until)
                        .count();
                long firstSendsBefore = sends.stream()
                        .filter(send -> !send.isRetry())
                        .filter(send -> send.at() >= start.at() - 10 * SECOND && send.at() < start.at())
                        .count();
                double allowed = RATIO * Math.max(firstSendsInWindow, firstSendsBefore) + SLACK;
                assertThat((double) retriesInWindow).isLessThanOrEqualTo(allowed);
            }
        }
    }

    @Test
    void aLowerCountOfRoutersCountsAfterADelay() {
        RetryBudget budget = new RetryBudget(RATIO, 10, SLACK);
        budget.onLiveRouters(27, 0);
        budget.onLiveRouters(1, SECOND);
        assertThat(sendRetries(budget, SECOND)).isEqualTo(1);
        assertThat(sendRetries(budget, 60 * SECOND)).isEqualTo(27);
    }

    private static int sendRetries(RetryBudget budget, long now) {
        int retries = 0;
        while (budget.allows(now)) {
            budget.onRetry(now);
            retries++;
        }
        return retries;
    }
}
