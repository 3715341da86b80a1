package burlarch.coordination.membership.swim;

import static burlarch.coordination.membership.swim.MemberNetwork.info;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipQueueTest {
    private final GossipQueue queue = new GossipQueue();

    private MemberUpdate add(int number, long incarnation, MemberState state, int transmissions) {
        MemberRecord record = new MemberRecord(new MemberUpdate(info(number, number), incarnation, state));
        queue.add(record, transmissions);
        return record.update;
    }

    private List<MemberUpdate> take(int count) {
        List<MemberUpdate> taken = new ArrayList<>();
        queue.takeUpdates(count * SwimCodec.sizeOf(new MemberUpdate(info(1, 1), 0, MemberState.ALIVE)), taken);
        return taken;
    }

    @Test
    void failuresAndRefutationsAreSentBeforeArrivals() {
        add(1, 0, MemberState.ALIVE, 9);
        MemberUpdate suspect = add(2, 0, MemberState.SUSPECT, 2);
        MemberUpdate refutation = add(3, 1, MemberState.ALIVE, 3);
        assertThat(take(2)).containsExactly(refutation, suspect);
    }

    @Test
    void leastSentUpdateIsSentFirstUntilTransmissionsRunOut() {
        MemberUpdate first = add(1, 0, MemberState.ALIVE, 2);
        MemberUpdate second = add(2, 0, MemberState.ALIVE, 1);
        assertThat(take(1)).containsExactly(first);
        assertThat(take(2)).containsExactlyInAnyOrder(first, second);
        assertThat(queue.isEmpty()).isTrue();
        assertThat(take(2)).isEmpty();
    }
}
