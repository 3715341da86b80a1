package burlarch.coordination.membership.swim;

import static burlarch.coordination.membership.swim.MemberNetwork.address;
import static burlarch.coordination.membership.swim.MemberNetwork.info;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimCodec;
import burlarch.coordination.membership.SwimMessage;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SwimTest {
    private final MemberNetwork network = new MemberNetwork();

    private void startFiveMembers() {
        for (int i = 1; i <= 5; i++) {
            network.start(info(i, 100 + i), address(1), address(2));
        }
    }

    private Swim member(int number) {
        return network.byAddress.get(address(number));
    }

    @Test
    void membersJoinThroughSeeds() {
        startFiveMembers();
        network.run(2_000);
        for (int i = 1; i <= 5; i++) {
            assertThat(member(i).members()).hasSize(4);
            assertThat(member(i).joined()).isTrue();
        }
    }

    @Test
    void seedThatStartsLateIsContactedAgain() {
        network.start(info(2, 102), address(1));
        network.run(3_000);
        assertThat(member(2).joined()).isFalse();
        network.start(info(1, 101), address(1));
        network.run(500);
        assertThat(member(2).joined()).isTrue();
        assertThat(member(1).stateOf("member-2")).contains(MemberState.ALIVE);
    }

    @Test
    void killedMemberBecomesSuspectThenDeadThenForgotten() {
        startFiveMembers();
        network.run(3_000);
        network.kill(address(5));
        network.run(1_500);
        assertThat(member(1).stateOf("member-5")).contains(MemberState.SUSPECT);
        network.run(2_500);
        for (int i = 1; i <= 4; i++) {
            assertThat(member(i).stateOf("member-5")).contains(MemberState.DEAD);
            assertThat(member(i).members()).hasSize(3);
        }
        network.run(65_000);
        assertThat(member(1).stateOf("member-5")).isEmpty();
    }

    @Test
    void memberRejoinsAfterALongPartition() {
        startFiveMembers();
        network.run(3_000);
        network.partitioned.add(address(4));
        network.run(6_000);
        assertThat(member(1).stateOf("member-4")).contains(MemberState.DEAD);
        network.partitioned.clear();
        network.run(3_000);
        for (int i = 1; i <= 5; i++) {
            assertThat(member(i).members()).hasSize(4);
        }
    }

    @Test
    void restartedProcessReplacesItsPredecessorAtOnce() {
        startFiveMembers();
        network.run(3_000);
        network.kill(address(3));
        network.start(info(3, 7), address(1), address(2));
        network.run(100);
        assertThat(network.changes.get(address(1)))
                .contains(
                        new MemberChange(info(3, 103), Optional.of(MemberState.ALIVE), MemberState.DEAD),
                        new MemberChange(info(3, 7), Optional.empty(), MemberState.ALIVE));
        network.run(2_000);
        for (int i : new int[] {1, 2, 4, 5}) {
            assertThat(member(i).members())
                    .contains(info(3, 7))
                    .doesNotContain(info(3, 103))
                    .hasSize(4);
        }
    }

    @Test
    void memberIsDeadWhenAnotherProcessAnswersAtItsAddress() {
        startFiveMembers();
        network.run(3_000);
        network.kill(address(3));
        network.start(new MemberInfo("other", address(3), "router", "zone", 9), address(1));
        network.run(3_000);
        assertThat(member(1).stateOf("member-3")).contains(MemberState.DEAD);
        assertThat(member(1).stateOf("other")).contains(MemberState.ALIVE);
    }

    @Test
    void pausedMemberDeclaresNoMemberDead() {
        startFiveMembers();
        network.run(3_000);
        network.changes.get(address(2)).clear();
        network.paused.add(address(2));
        network.run(10_000);
        network.paused.clear();
        network.run(5_000);
        assertThat(network.changes.get(address(2))).noneMatch(MemberChange::disappeared);
        assertThat(member(1).stateOf("member-2")).contains(MemberState.ALIVE);
    }

    @Test
    void partitionedMemberDeclaresOthersDeadLaterThanTheyDeclareIt() {
        startFiveMembers();
        network.run(3_000);
        network.partitioned.add(address(4));
        while (!member(1).stateOf("member-4").equals(Optional.of(MemberState.DEAD))) {
            network.run(10);
        }
        network.run(500);
        assertThat(member(4).members()).hasSize(4);
    }

    @Test
    void leavingMemberBecomesLeftAtOnceWithoutSuspicion() {
        startFiveMembers();
        network.run(3_000);
        network.apply(address(5), member(5).leave(network.nowNanos));
        network.run(1);
        for (int i = 1; i <= 4; i++) {
            assertThat(member(i).stateOf("member-5")).contains(MemberState.LEFT);
        }
    }

    @Test
    void invalidDatagramsAreCountedAndDropped() {
        startFiveMembers();
        network.run(1_000);
        member(1).onDatagram(address(9), new byte[] {1, 2, 3}, network.nowNanos);
        member(1).onDatagram(address(9), new byte[0], network.nowNanos);
        assertThat(member(1).droppedDatagrams()).isEqualTo(2);
        assertThat(member(1).members()).hasSize(4);
    }

    @Test
    void datagramsStayWithinTheMaximumSize() {
        for (int i = 1; i <= 60; i++) {
            network.start(info(i, 100 + i), address(1), address(2));
        }
        network.run(10_000);
        for (int i = 1; i <= 60; i++) {
            assertThat(member(i).members()).hasSize(59);
        }
        assertThat(network.largestDatagramBytes())
                .isLessThanOrEqualTo(SwimSettings.defaults().maxDatagramBytes());
    }

    @Test
    void memberTableIsBounded() {
        SwimSettings standard = SwimSettings.defaults();
        SwimSettings twoMemberSettings = new SwimSettings(
                standard.probePeriodNanos(),
                standard.probeTimeoutNanos(),
                3,
                3,
                4,
                1_200,
                2,
                standard.deadRetentionNanos(),
                standard.minSyncIntervalNanos());
        Swim swim = new Swim(info(1, 1), List.of(), twoMemberSettings, 1, 0);
        swim.onTimer(0);
        for (int i = 2; i <= 9; i++) {
            MemberUpdate update = new MemberUpdate(info(i, i), 0, MemberState.ALIVE);
            SwimMessage message = new SwimMessage.SyncPage(new SwimMessage.Header(i, 0), List.of(update));
            swim.onDatagram(address(i), SwimCodec.encode(message), 0);
        }
        assertThat(swim.members()).hasSize(2);
        assertThat(swim.rejectedMembers()).isPositive();
    }
}
