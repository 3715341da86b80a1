package burlarch.simulation.operators;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.operators.OperatorChange.Kind;
import burlarch.simulation.operators.OperatorHistory.Outcome;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the checker with histories small enough to verify by hand. */
class LinearizabilityCheckerTest {
    private final OperatorHistory history = new OperatorHistory();

    private static OperatorChange put(long ifMatch, long version, String mark) {
        return new OperatorChange(Kind.PUT, ifMatch, version, mark);
    }

    private void change(OperatorChange order, long startNanos, long answeredNanos, Outcome outcome) {
        history.onSent(order, startNanos);
        if (outcome != Outcome.UNCLEAR) {
            history.onClearResponse(order, outcome, answeredNanos);
        }
    }

    private void read(long startNanos, long answeredNanos, long version, String mark, String... tenants) {
        history.onRead(new OperatorHistory.Read(startNanos, answeredNanos, version, mark, Set.of(tenants)));
    }

    private boolean isLinearizable() {
        return LinearizabilityChecker.isLinearizable(history);
    }

    @Test
    void chainWithOneAppliedChangePerBaseIsLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(put(2, 3, "b"), 11, 30, Outcome.APPLIED);
        change(put(2, 3, "c"), 11, 29, Outcome.CONFLICT);
        read(31, 32, 3, "b", "b");
        assertThat(isLinearizable()).isTrue();
    }

    @Test
    void twoAppliedChangesOnOneBaseAreNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(put(2, 3, "b"), 11, 30, Outcome.APPLIED);
        change(put(2, 4, "c"), 11, 30, Outcome.APPLIED);
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void unclearChangeMayTakeEffectLaterButNotBeReverted() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(put(2, 3, "b"), 11, 0, Outcome.UNCLEAR);
        read(12, 13, 2, "a", "a");
        read(14, 15, 3, "b", "b");
        assertThat(isLinearizable()).isTrue();
        read(16, 17, 2, "a", "a");
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void unclearChangeMayBeBaseOfAnotherChange() {
        change(put(0, 2, "a"), 0, 0, Outcome.UNCLEAR);
        change(new OperatorChange(Kind.PATCH, 2, 3, "b"), 1, 10, Outcome.APPLIED);
        read(11, 12, 3, "b", "a", "b");
        assertThat(isLinearizable()).isTrue();
    }

    @Test
    void rejectedChangeIsNeverBaseOfAnotherChange() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(put(2, 5, "b"), 1, 9, Outcome.CONFLICT);
        change(put(5, 6, "c"), 11, 20, Outcome.APPLIED);
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void conflictWithoutNewerVersionIsNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(put(2, 3, "b"), 11, 12, Outcome.CONFLICT);
        change(put(2, 3, "c"), 13, 14, Outcome.APPLIED);
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void readOlderThanAcknowledgedChangeIsNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        read(5, 12, 0, "");
        assertThat(isLinearizable()).isTrue();
        read(11, 12, 0, "");
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void patchThatDropsTenantsOfItsBaseIsNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        change(new OperatorChange(Kind.BARE_PATCH, 2, 3, "b"), 11, 20, Outcome.APPLIED);
        read(21, 22, 3, "b");
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void validChangeRejectedAsInvalidIsNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.INVALID);
        assertThat(isLinearizable()).isFalse();
    }

    @Test
    void contradictoryResponsesToOneChangeAreNotLinearizable() {
        change(put(0, 2, "a"), 0, 10, Outcome.APPLIED);
        history.onClearResponse(put(0, 2, "a"), Outcome.APPLIED, 20);
        assertThat(isLinearizable()).isTrue();
        history.onClearResponse(put(0, 2, "a"), Outcome.CONFLICT, 30);
        assertThat(isLinearizable()).isFalse();
    }
}
