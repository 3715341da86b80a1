package burlarch.standins.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.standins.model.Catalog.Lifecycle;
import burlarch.standins.model.Catalog.Member;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests generations of the member list and the updates for callers of earlier generations. */
class CatalogTest {
    private final Catalog catalog = new Catalog(41, 3);

    private void put(String id, Lifecycle lifecycle) {
        catalog.put(new Member(id, "a", "fast", 0, 1, lifecycle, 0));
    }

    private static List<String> ids(Catalog.Update update) {
        return update.members().stream().map(m -> m.id() + " " + m.lifecycle()).toList();
    }

    @Test
    void changesSinceGenerationContainEachMemberOnce() {
        put("c-1", Lifecycle.SERVING);
        put("c-2", Lifecycle.SERVING);
        put("c-1", Lifecycle.DRAINING);
        assertEquals(44, catalog.generation());
        assertEquals(List.of("c-2 SERVING", "c-1 DRAINING"), ids(catalog.changesSince(41)));
        assertEquals(List.of("c-1 DRAINING"), ids(catalog.changesSince(43)));
        assertEquals(List.of(), ids(catalog.changesSince(44)));
        assertFalse(catalog.changesSince(44).reset());
    }

    @Test
    void callerOlderThanKeptChangesGetsWholeList() {
        for (int i = 0; i < 5; i++) {
            put("c-" + i, Lifecycle.SERVING);
        }
        put("c-0", Lifecycle.DELETED);
        Catalog.Update update = catalog.changesSince(41);
        assertTrue(update.reset());
        assertEquals(4, update.members().size());
        assertFalse(catalog.changesSince(44).reset());
    }

    @Test
    void callerWithFutureGenerationGetsWholeList() {
        put("c-1", Lifecycle.SERVING);
        assertTrue(catalog.changesSince(99).reset());
    }
}
