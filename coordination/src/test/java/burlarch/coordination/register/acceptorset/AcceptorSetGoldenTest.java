package burlarch.coordination.register.acceptorset;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The form in which a value of the register names a changing set of acceptors. */
class AcceptorSetGoldenTest {
    private static final GoldenFiles REGISTER = new GoldenFiles("register");

    @Test
    void aChangingSetIsWrittenAsTheReleaseBeforeDid() {
        assertThat(changingSet()).isEqualTo(REGISTER.lines("changing-set.txt"));
    }

    @Test
    void aChangingSetOfTheReleaseBeforeIsRead() {
        List<AcceptorMember> members = REGISTER.lines("changing-set.txt").stream()
                .map(line -> line.split(" "))
                .map(words -> new AcceptorMember(words[0], words[1]))
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

    static List<String> changingSet() {
        List<AcceptorMember> from =
                List.of(new AcceptorMember("s1", "10.0.0.9:1"), new AcceptorMember("s2", "10.0.0.2:1"));
        List<AcceptorMember> to =
                List.of(new AcceptorMember("s1", "10.0.0.1:1"), new AcceptorMember("s3", "10.0.0.3:1"));
        return AcceptorSet.jointMembers(from, to).stream()
                .map(member -> member.storageId() + " " + member.address())
                .toList();
    }
}
