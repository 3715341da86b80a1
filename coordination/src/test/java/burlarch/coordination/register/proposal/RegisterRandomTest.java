package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Runs many random histories of a register, each with its own faults. */
class RegisterRandomTest {
    private static final int SEEDS = Integer.getInteger("register.seeds", 400);
    private static final int SCHEDULES = 20 * SEEDS;

    @Test
    void chosenValuesFormOneChainUnderAnyScheduleAndSetChange() {
        int chosenValues = 0;
        int endedProposals = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            RegisterSchedule schedule = new RegisterSchedule(seed);
            try {
                schedule.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
            chosenValues += schedule.chosen.count();
            endedProposals += schedule.endedProposals;
        }
        assertThat(chosenValues).isGreaterThan(SCHEDULES);
        assertThat(endedProposals).isGreaterThan(SCHEDULES);
    }

    @Test
    void chosenValuesFormOneChainAndNoAcknowledgedChangeIsLost() {
        int chosenValues = 0;
        int acknowledged = 0;
        int rejected = 0;
        int setChanges = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RegisterSimulation simulation = new RegisterSimulation(seed);
            try {
                simulation.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed, e);
            }
            chosenValues += simulation.chosen.count();
            acknowledged += simulation.acknowledgedCount;
            rejected += simulation.rejectedCount;
            setChanges += simulation.setChanges;
        }
        assertThat(chosenValues).isGreaterThan(20 * SEEDS);
        assertThat(acknowledged).isGreaterThan(8 * SEEDS);
        assertThat(rejected).isGreaterThan(SEEDS);
        assertThat(setChanges).isGreaterThan(SEEDS);
    }
}
