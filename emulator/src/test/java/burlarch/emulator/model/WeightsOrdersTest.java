package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which weights orders an engine accepts. */
class WeightsOrdersTest {
    private static final long LOAD_NANOS = 100;
    private final WeightsOrders orders = new WeightsOrders(Map.of("m", 1L), LOAD_NANOS);

    private static WeightsOrders.Order order(long version, long fencingToken, long expectedSequence) {
        return new WeightsOrders.Order(
                "config_version", "m", version, "retain", "holder", fencingToken, expectedSequence);
    }

    @Test
    void acceptedOrderTakesEffectAfterTheLoadTime() {
        assertThat(orders.accept(order(2, 5, -1), 0)).isEqualTo(202);
        assertThat(orders.isLoading("m")).isTrue();
        assertThat(orders.isLoading("n")).isFalse();
        assertThat(orders.completeDue(LOAD_NANOS - 1)).isNull();
        assertThat(orders.versions()).containsEntry("m", 1L);
        assertThat(orders.completeDue(LOAD_NANOS)).isEqualTo("m");
        assertThat(orders.versions()).containsEntry("m", 2L);
        assertThat(orders.accept(order(2, 5, -1), LOAD_NANOS)).isEqualTo(200);
    }

    @Test
    void orderWithLowerFencingTokenIsRejected() {
        orders.accept(order(1, 5, -1), 0);
        assertThat(orders.accept(order(2, 4, -1), 0)).isEqualTo(412);
        assertThat(orders.accept(order(2, 5, -1), 0)).isEqualTo(202);
    }

    @Test
    void orderIsRejectedAtAnotherSequenceOrDuringAnotherOrder() {
        assertThat(orders.accept(order(2, 1, 1), 0)).isEqualTo(409);
        assertThat(orders.accept(order(2, 1, 0), 0)).isEqualTo(202);
        assertThat(orders.sequence()).isEqualTo(1);
        assertThat(orders.accept(order(3, 1, -1), 0)).isEqualTo(409);
    }

    @Test
    void invalidOrdersAreRejected() {
        assertThat(orders.accept(order(2, 0, -1), 0)).isEqualTo(400);
        assertThat(orders.accept(order(0, 1, -1), 0)).isEqualTo(400);
        assertThat(orders.accept(new WeightsOrders.Order("paint", "m", 2, "retain", "h", 1, -1), 0))
                .isEqualTo(400);
        assertThat(orders.accept(new WeightsOrders.Order("config_version", "n", 2, "retain", "h", 1, -1), 0))
                .isEqualTo(400);
        assertThat(orders.accept(new WeightsOrders.Order("config_version", "m", 2, "retain", " ", 1, -1), 0))
                .isEqualTo(400);
    }
}
