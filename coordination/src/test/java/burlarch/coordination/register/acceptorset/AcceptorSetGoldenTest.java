package burlarch.coordination.register.acceptorset;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compatibility with the previous release in how a value of the register encodes a joint set of acceptors. */
class AcceptorSetGoldenTest {
    private static final GoldenFiles REGISTER = new GoldenFiles("register");

    @Test
    void jointSetIsEncodedAsInThePreviousRelease() {
        assertThat(jointSetLines()).isEqualTo(REGISTER.lines("changing-set.txt"));
    }

    @Test
    void jointSetOfThePreviousReleaseIsDecoded() {
        List<AcceptorMember> members = REGISTER.lines("changing-set.txt").stream()
                .map(line -> line.split(" "))
                .map(fields -> new AcceptorMember(fields[0], fields[1]))
                .toList();

        AcceptorSet set = AcceptorSet.of(members);

        assertThat(set.isJoint()).isTrue();
        assertThat(set.newMembers())
                .containsExactlyInAnyOrder(
                        new AcceptorMember("s1", "10.0.0.1:1"), new AcceptorMember("s3", "10.0.0.3:1"));
        assertThat(set.votingMembers())
                .containsExactlyInAnyOrder(
                        new AcceptorMember("s1", "10.0.0.1:1"),
                        new AcceptorMember("s2", "10.0.0.2:1"),
                        new AcceptorMember("s3", "10.0.0.3:1"));
    }

    static List<String> jointSetLines() {
        List<AcceptorMember> from =
                List.of(new AcceptorMember("s1", "10.0.0.9:1"), new AcceptorMember("s2", "10.0.0.2:1"));
        List<AcceptorMember> to =
                List.of(new AcceptorMember("s1", "10.0.0.1:1"), new AcceptorMember("s3", "10.0.0.3:1"));
        return AcceptorSet.jointMembers(from, to).stream()
                .map(member -> member.storageId() + " " + member.address())
                .toList();
    }
}
