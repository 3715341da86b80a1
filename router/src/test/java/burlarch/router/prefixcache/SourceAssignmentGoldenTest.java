package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All routers, including those of the previous release, must agree on which router reads a source. */
class SourceAssignmentGoldenTest {
    private static final GoldenFiles GOLDEN_FILES = new GoldenFiles("ownership");
    private static final List<String> ROUTERS = List.of("r1", "r2", "r3", "r4", "r5", "r6");
    private static final int CALL_LIMIT = 5;

    @Test
    void readersEqualThoseOfThePreviousRelease() {
        assertThat(readers()).isEqualTo(GOLDEN_FILES.lines("readers.txt"));
    }

    /** Returns one line for each source: its name and the routers that read it. */
    static List<String> readers() {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            StringBuilder line = new StringBuilder("engine-" + i);
            for (String router : ROUTERS) {
                if (new SourceAssignment(router, ROUTERS.size(), ROUTERS).isReader("engine-" + i, CALL_LIMIT)) {
                    line.append(' ').append(router);
                }
            }
            lines.add(line.toString());
        }
        return lines;
    }
}
