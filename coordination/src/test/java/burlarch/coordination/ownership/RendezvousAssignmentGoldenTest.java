package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All nodes must agree on who owns a key, also those of the release before. */
class RendezvousAssignmentGoldenTest {
    private static final GoldenFiles OWNERSHIP = new GoldenFiles("ownership");

    @Test
    void ownersAreThoseOfTheReleaseBefore() {
        assertThat(owners()).isEqualTo(OWNERSHIP.lines("owners.txt"));
    }

    /** Each line a key, its owner among three, and the number that a member and the key hash to. */
    static List<String> owners() {
        List<String> keys = List.of("models", "models/7b", "i-1", "", "käse");
        RendezvousAssignment owners = new RendezvousAssignment(List.of("c1", "c2", "c3"), keys);
        List<String> lines = new ArrayList<>();
        for (String key : keys) {
            lines.add(
                    "'" + key + "' " + owners.ownerOf(key).orElseThrow() + " " + RendezvousAssignment.score("c1", key));
        }
        return lines;
    }
}
