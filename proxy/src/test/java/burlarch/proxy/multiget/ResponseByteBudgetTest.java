package burlarch.proxy.multiget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The limit on response bytes that wait for the rest of their multi-get or for a slow client. */
class ResponseByteBudgetTest {
    @Test
    void reservedBytesNeverExceedTheLimit() {
        ResponseByteBudget budget = new ResponseByteBudget(10);
        assertTrue(budget.tryReserve(6));
        assertFalse(budget.tryReserve(5));
        assertTrue(budget.tryReserve(4));
        budget.release(6);
        assertEquals(4, budget.reservedBytes());
        assertTrue(budget.tryReserve(6));
    }
}
