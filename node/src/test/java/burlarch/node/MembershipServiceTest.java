package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.transport.SelectorEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests five members on loopback, each on its own event loop. */
@Timeout(60)
class MembershipServiceTest {
    private static final int MEMBER_COUNT = 5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final SwimSettings SHORT_INTERVALS = new SwimSettings(
            50 * NANOS_PER_MILLI,
            20 * NANOS_PER_MILLI,
            3,
            3.0,
            4,
            1_200,
            100,
            10_000 * NANOS_PER_MILLI,
            100 * NANOS_PER_MILLI);

    private final List<Node> nodes = new ArrayList<>();
    private List<String> seeds = List.of();

    /** One member, with all changes that its listener received. */
    private final class Node {
        private final SelectorEventLoop loop = new SelectorEventLoop("membership-test");
        private final MembershipService membership;
        private final List<MemberChange> observedChanges = new ArrayList<>();
        private final List<Runnable> conditionChecks = new ArrayList<>();

        Node(String name, long processId) throws IOException {
            membership = new MembershipService(
                    loop,
                    new MembershipService.Self(name, NodeRoles.ROUTER, "zone", processId),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    seeds,
                    SHORT_INTERVALS);
            membership.addListener(this::onChanges);
            membership.start();
            nodes.add(this);
        }

        private void onChanges(List<MemberChange> changes) {
            observedChanges.addAll(changes);
            List.copyOf(conditionChecks).forEach(Runnable::run);
        }

        /** Blocks until the condition holds; it is evaluated on the loop, at once and after each change. */
        void await(Predicate<Node> condition) throws Exception {
            CompletableFuture<Void> conditionMet = new CompletableFuture<>();
            Runnable check = () -> {
                if (condition.test(this)) {
                    conditionMet.complete(null);
                }
            };
            loop.execute(() -> {
                conditionChecks.add(check);
                check.run();
            });
            conditionMet.get(30, TimeUnit.SECONDS);
        }

        boolean hasOtherMembers(int count) {
            return membership.members().size() == count;
        }

        boolean hasObserved(String name, long processId, MemberState state) {
            return observedChanges.stream()
                    .anyMatch(change -> change.after() == state
                            && change.member().name().equals(name)
                            && change.member().processId() == processId);
        }
    }

    @BeforeEach
    void startMembers() throws Exception {
        Node first = new Node("node-1", 1);
        seeds = List.of(first.membership.address());
        for (int number = 2; number <= MEMBER_COUNT; number++) {
            new Node("node-" + number, number);
        }
        for (Node node : nodes) {
            node.await(observer -> observer.hasOtherMembers(MEMBER_COUNT - 1));
        }
    }

    @AfterEach
    void closeMembers() {
        nodes.forEach(node -> node.membership.close());
        nodes.forEach(node -> node.loop.close());
    }

    @Test
    void membersFindAllOthersThroughOneSeed() throws Exception {
        Node last = nodes.get(MEMBER_COUNT - 1);
        CompletableFuture<List<MemberInfo>> members = new CompletableFuture<>();
        last.loop.execute(() -> members.complete(last.membership.members()));
        assertThat(members.get(10, TimeUnit.SECONDS))
                .extracting(MemberInfo::name)
                .containsExactlyInAnyOrderElementsOf(IntStream.range(1, MEMBER_COUNT)
                        .mapToObj(number -> "node-" + number)
                        .toList());
        assertThat(members.get()).extracting(MemberInfo::address).contains(seeds.get(0));
        last.await(node -> node.membership.hasJoined());
    }

    @Test
    void killedMemberIsObservedAsDeadByAll() throws Exception {
        nodes.remove(2).membership.close();
        for (Node node : nodes) {
            node.await(observer ->
                    observer.hasObserved("node-3", 3, MemberState.DEAD) && observer.hasOtherMembers(MEMBER_COUNT - 2));
        }
    }

    @Test
    void leavingMemberIsObservedAsLeftByAll() throws Exception {
        nodes.remove(1).membership.leave().get(10, TimeUnit.SECONDS);
        for (Node node : nodes) {
            node.await(observer -> observer.hasObserved("node-2", 2, MemberState.LEFT));
        }
    }

    @Test
    void restartedMemberReplacesItsFormerProcess() throws Exception {
        nodes.remove(3).membership.close();
        Node restarted = new Node("node-4", 44);
        for (Node node : nodes) {
            node.await(observer -> observer == restarted
                    ? observer.hasOtherMembers(MEMBER_COUNT - 1)
                    : observer.hasObserved("node-4", 4, MemberState.DEAD)
                            && observer.hasObserved("node-4", 44, MemberState.ALIVE)
                            && observer.hasOtherMembers(MEMBER_COUNT - 1));
        }
    }

    @Test
    void memberThatHasLeftObservesNoLaterChanges() throws Exception {
        Node departed = nodes.remove(MEMBER_COUNT - 1);
        departed.membership.leaveWithinTimeout();
        new Node("node-6", 6);
        nodes.get(0).await(observer -> observer.hasObserved("node-6", 6, MemberState.ALIVE));
        departed.await(observer -> observer.observedChanges.stream()
                .noneMatch(change -> change.member().name().equals("node-6")));
    }
}
