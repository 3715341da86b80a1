package burlarch.proxy.status;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Both forms of the status page, as in the release before. */
class StatusPageGoldenTest {
    private static final GoldenFiles PAGES = new GoldenFiles("status");

    @Test
    void theJsonFormIsThatOfTheReleaseBefore() {
        assertEquals(PAGES.text("status.json"), new String(pages().json(), StandardCharsets.UTF_8));
    }

    @Test
    void theHtmlFormIsThatOfTheReleaseBefore() {
        assertEquals(PAGES.text("status.html"), new String(pages().html(), StandardCharsets.UTF_8));
    }

    static Pages pages() {
        return Pages.of(new Snapshot(
                "0.0.0",
                77,
                true,
                List.of(
                        new Snapshot.Server("c-1", "10.0.0.1:1", "SERVING", List.of("refused <now>", "reset")),
                        new Snapshot.Server("c-2", "10.0.0.2:1", "LAME", List.of())),
                List.of(new Snapshot.Load("read", 12.34, 5), new Snapshot.Load("write", 0, 0))));
    }
}
