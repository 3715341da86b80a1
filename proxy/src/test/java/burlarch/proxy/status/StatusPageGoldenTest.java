package burlarch.proxy.status;

import static org.junit.jupiter.api.Assertions.assertEquals;

import burlarch.golden.GoldenFiles;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares both forms of the status page with those of the previous release. */
class StatusPageGoldenTest {
    private static final GoldenFiles GOLDEN_FILES = new GoldenFiles("status");

    @Test
    void jsonEqualsThatOfThePreviousRelease() {
        assertEquals(GOLDEN_FILES.text("status.json"), new String(rendered().json(), StandardCharsets.UTF_8));
    }

    @Test
    void htmlEqualsThatOfThePreviousRelease() {
        assertEquals(GOLDEN_FILES.text("status.html"), new String(rendered().html(), StandardCharsets.UTF_8));
    }

    static RenderedStatus rendered() {
        return RenderedStatus.of(new Snapshot(
                "0.0.0",
                77,
                true,
                List.of(
                        new Snapshot.Server("c-1", "10.0.0.1:1", "SERVING", List.of("refused <now>", "reset")),
                        new Snapshot.Server("c-2", "10.0.0.2:1", "LAME", List.of())),
                List.of(
                        new Snapshot.RequestClassLoad("read", 12.34, 5),
                        new Snapshot.RequestClassLoad("write", 0, 0))));
    }
}
