package burlarch.coordination.membership.swim;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.golden.GoldenFiles;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compatibility with the table digests of the previous release: nodes of both releases run in one fleet. */
class TableDigestGoldenTest {
    private static final GoldenFiles DATAGRAMS = new GoldenFiles("datagrams");

    /** Members compare the digests of their tables, so both releases must compute the same digest of one table. */
    @Test
    void tableDigestEqualsThatOfThePreviousRelease() {
        MemberTable table = new MemberTable(10, 3);
        for (String name : List.of("a", "b", "c")) {
            MemberInfo info = new MemberInfo(name, "10.0.0.1:1", "router", "north", name.hashCode());
            table.apply(new MemberUpdate(info, 0, MemberState.ALIVE), 1, new ArrayList<>());
        }

        assertThat(Long.toHexString(table.digest()))
                .isEqualTo(DATAGRAMS.lines("table-digest.txt").get(0));
    }
}
