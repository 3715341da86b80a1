package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

/** Node ids when nodes are replaced under new names again and again. */
class NodeIdsTest {
    @Test
    void forgottenIdsAreRemovedAndOthersAreKept() {
        NodeIds ids = new NodeIds();
        long keptId = ids.of("stays");
        for (int i = 0; i < 1000; i++) {
            long goneId = ids.of("s-" + i);
            ids.forget(id -> id == goneId);
        }
        assertEquals(1, ids.size());
        assertEquals(keptId, ids.of("stays"));
    }

    @Test
    void idCanBeReassignedAfterItsNodeIsForgotten() {
        NodeIds ids = new NodeIds();
        long firstId = ids.of("a1");
        long collidingId = ids.of("0a1");
        assertNotEquals(firstId, collidingId);
        ids.forget(id -> id == firstId || id == collidingId);
        assertEquals(firstId, ids.of("0a1"));
    }
}
