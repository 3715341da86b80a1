package burlarch.coordination.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Runs rollouts in many random fleets in virtual time. */
class RolloutSearchTest {
    private static final int SEEDS = 500;

    @Test
    void rolloutFinishesInTimeWithAtMostHalfLoadingWithoutLoss() {
        for (int seed = 0; seed < SEEDS; seed++) {
            int count = 3 + seed % 18;
            RolloutSimulation simulation = new RolloutSimulation(seed, count, 0, 500 + seed * 3L);
            simulation.nameVersion(1000);
            simulation.run(15_000);
            simulation.assertDone();
            assertThat(simulation.lastLoadedAt() - 1000).as("seed %d", seed).isLessThan(8000);
            assertThat(simulation.maxLoading).as("seed %d", seed).isLessThanOrEqualTo((count + 1) / 2);
        }
    }

    /** Guards against engines that keep superseded weights in service while newer versions keep coming (VERSION). */
    @Test
    void noEngineServesSupersededWeightsTooLongWhileVersionsComeInQuickSuccession() {
        for (int seed = 0; seed < SEEDS; seed++) {
            int count = 3 + seed % 18;
            RolloutSimulation simulation = new RolloutSimulation(seed, count, 0, 500 + seed);
            for (int version = 0; version < 16; version++) {
                simulation.nameVersion(1000 + version * (300 + seed * 7L));
            }
            simulation.run(90_000);
            simulation.assertDone();
            assertThat(simulation.maxMillisOnSupersededWeights)
                    .as("seed %d", seed)
                    .isLessThan(8000);
            assertThat(simulation.maxLoading).as("seed %d", seed).isLessThanOrEqualTo((count + 1) / 2);
        }
    }

    @Test
    void rolloutReachesAllEnginesDespiteLossRestartsNewVersionsAndOwnerChanges() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, 1 + seed % 12, 0.3, 2000);
            simulation.nameVersion(1000);
            simulation.nameVersion(2500 + seed * 7L);
            simulation.restartOne(1500 + seed * 5L);
            simulation.restartOne(2100 + seed * 11L);
            simulation.changeOwner(1300 + seed * 9L);
            simulation.run(120_000);
            simulation.assertDone();
        }
    }

    /** Guards against an engine that keeps older weights, which are taken for a late observation (VERSION). */
    @Test
    void engineThatGoesBackToOlderWeightsLoadsTheNewestAgain() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, 1 + seed % 12, 0.2, 2000);
            simulation.nameVersion(1000);
            simulation.nameVersion(4000 + seed * 7L);
            simulation.goBackOne(20_000 + seed * 13L);
            simulation.changeOwner(19_000 + seed * 9L);
            simulation.run(60_000);
            simulation.assertDone();
        }
    }

    /** Guards against an order that was held up and replaces weights that were ordered later (VERSION). */
    @Test
    void lateOrdersDoNotReplaceNewerWeights() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, 1 + seed % 12, 0.3, 1000);
            simulation.nameVersion(1000);
            simulation.nameVersion(2000 + seed * 7L);
            simulation.nameVersion(3000 + seed * 11L);
            simulation.run(60_000);
            simulation.assertDone();
        }
    }
}
