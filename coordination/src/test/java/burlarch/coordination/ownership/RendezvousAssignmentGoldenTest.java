package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compatibility with the previous release: nodes of both releases must agree on the owner of each key. */
class RendezvousAssignmentGoldenTest {
    private static final GoldenFiles OWNERSHIP = new GoldenFiles("ownership");

    @Test
    void ownersEqualThoseOfThePreviousRelease() {
        assertThat(ownerLines()).isEqualTo(OWNERSHIP.lines("owners.txt"));
    }

    /** Returns one line per key: the key, its owner among three members, and the score of one member for it. */
    static List<String> ownerLines() {
        List<String> keys = List.of("models", "models/7b", "i-1", "", "käse");
        RendezvousAssignment assignment = new RendezvousAssignment(List.of("c1", "c2", "c3"), keys);
        List<String> lines = new ArrayList<>();
        for (String key : keys) {
            lines.add("'" + key + "' " + assignment.ownerOf(key).orElseThrow() + " "
                    + RendezvousAssignment.score("c1", key));
        }
        return lines;
    }
}
