package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.admission.FetchAdmission;
import burlarch.routing.admission.RetryBudget;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** One tenant floods many routers with fetches; and what routers that are cut off add to the whole. */
class TenantBoundTest {
    private static final int[] ROUTERS = {1, 7, 60};
    /** Routers for which the throttle was seen to hold the bound before six engines; 60 are too many. */
    private static final int[] BOUNDED = {1, 7};

    private static final int TOO_MANY = 60;
    /** How far the flood may go beyond its share and what the others leave of theirs. */
    private static final double SLACK = 1.25;
    /** Part of the fetches of tenants within their share that is served, and that within the aim. */
    private static final double SERVED = 0.5;

    private static final double IN_AIM = 0.2;
    /** Part of its offers that a flood gets at most where there are too many routers. */
    private static final double TOO_MANY_PART = 0.5;

    private static final double RATIO = 0.2;
    private static final double WINDOW_SECONDS = 10;
    private static final double BUDGET_SLACK = 54;
    private static final double START_PER_SECOND = 60;

    private static FloodedFleet flooded(int routers, boolean admitAlways, int dead, long seed) {
        FloodedFleet fleet = new FloodedFleet(routers, admitAlways, seed);
        if (dead > 0) {
            fleet.loseRouters(dead, 10);
        }
        fleet.run();
        String name = admitAlways ? "admit always" : dead > 0 ? "one cut off, " + dead + " dead" : "bound";
        print(
                "| %d | %s | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %d + %d | %d to %d |",
                routers,
                name,
                seed,
                fleet.readablePerSecond(),
                sent(fleet),
                bound(fleet),
                fleet.others.servedPart(),
                fleet.others.inAimPart(),
                fleet.others.overShare,
                fleet.others.tooMuchWaits,
                fleet.refusals == 0 ? 0 : fleet.shortestRetryMillis,
                fleet.longestRetryMillis);
        return fleet;
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static double sent(FloodedFleet fleet) {
        return fleet.flood.sent / FloodedFleet.measuredSeconds();
    }

    /** The flooding tenant's share and what the others leave of theirs. */
    private static double bound(FloodedFleet fleet) {
        return fleet.readablePerSecond() - fleet.others.asked / FloodedFleet.measuredSeconds();
    }

    private static void assertBound(FloodedFleet fleet) {
        assertThat(sent(fleet)).isLessThan(SLACK * bound(fleet));
        assertThat(fleet.others.servedPart()).isGreaterThan(SERVED);
        assertThat(fleet.others.inAimPart()).isGreaterThan(IN_AIM);
        assertRefusals(fleet);
    }

    /** The call itself refuses, and tells when to come back. */
    private static void assertRefusals(FloodedFleet fleet) {
        assertThat(fleet.refusals).isPositive();
        assertThat(fleet.shortestRetryMillis).isGreaterThanOrEqualTo(50);
        assertThat(fleet.longestRetryMillis).isLessThanOrEqualTo(2_000);
    }

    @Test
    void aFloodStaysWithinItsShareAndWhatOthersLeaveOverSomeRouters() {
        for (int routers : BOUNDED) {
            for (int seed = 1; seed <= 2; seed++) {
                assertBound(flooded(routers, false, 0, seed));
            }
        }
    }

    @Test
    void theBoundHoldsWhileOneRouterIsCutOffAndOthersDie() {
        assertBound(flooded(7, false, 2, 1));
    }

    /** A known gap: the bound itself does not hold here, and the other tenants get next to nothing. */
    @Test
    void tooManyRoutersForTheEnginesStillRefuseHalfOfAFlood() {
        for (int dead : new int[] {0, TOO_MANY / 3}) {
            FloodedFleet fleet = flooded(TOO_MANY, false, dead, 1);
            assertThat(sent(fleet)).isLessThan(TOO_MANY_PART * FloodedFleet.FLOOD_PER_SECOND);
            assertRefusals(fleet);
        }
    }

    @Test
    void withoutTheThrottleTheOthersLoseMost() {
        for (int routers : ROUTERS) {
            FloodedFleet off = flooded(routers, true, 0, 1);
            assertThat(off.refusals).isZero();
            assertThat(off.others.servedPart()).isLessThan(0.05);
        }
    }

    @Test
    void routersThatAreCutOffAddAtMostThoseTheOthersNoLongerCount() {
        for (int routers : ROUTERS) {
            for (int cut : new int[] {0, 1, routers / 4, routers / 2}) {
                if (cut < routers) {
                    assertSums(routers, cut);
                }
            }
        }
    }

    /** Routers are cut off one after another, each with the count it last heard; the others start anew. */
    private static void assertSums(int routers, int cut) {
        double capacity = 0;
        int firsts = 0;
        int further = 0;
        for (int i = 0; i < routers; i++) {
            int live = i < cut ? routers - i : routers - cut;
            FetchAdmission admission = new FetchAdmission();
            admission.configure(Fixture.tenants(8), START_PER_SECOND, live);
            capacity += admission.perSecond();
            RetryBudget budget = new RetryBudget(RATIO, WINDOW_SECONDS, BUDGET_SLACK);
            budget.onLiveRouters(routers, 0);
            budget.onLiveRouters(live, Fixture.SECOND);
            budget.allows(40 * Fixture.SECOND);
            int own = 10 * (1 + i % 3);
            for (int k = 0; k < own; k++) {
                budget.onFirstSend(40 * Fixture.SECOND);
            }
            firsts += own;
            while (budget.allows(40 * Fixture.SECOND)) {
                budget.onRetry(40 * Fixture.SECOND);
                further++;
            }
        }
        double whole = RATIO * firsts + BUDGET_SLACK;
        print(
                "| %d | %d | %.2f | %d of %.0f | %.2f |",
                routers, cut, capacity / START_PER_SECOND, further, whole, further / whole);
        // The sum of 1/n from half of the routers to all of them, and the one each of the rest has.
        assertThat(capacity).isLessThanOrEqualTo(START_PER_SECOND * 1.75);
        if (cut <= 1) {
            assertThat(capacity).isLessThanOrEqualTo(START_PER_SECOND * (1 + (double) cut / routers) + 1e-9);
        }
        assertThat(further).isLessThanOrEqualTo((int) whole);
    }
}
