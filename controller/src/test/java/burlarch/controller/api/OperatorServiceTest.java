package burlarch.controller.api;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.CommittedState;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.registry.RegistrySettings;
import burlarch.testing.RecordingLinks;
import burlarch.testing.VirtualLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Once, an instance that the full registry had rejected was acknowledged nevertheless: it stayed with this controller
 * and was never sent a request.
 */
class OperatorServiceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MOST_INSTANCES = 2;
    private static final AcceptorMember OWN = new AcceptorMember("disk-1", "10.0.0.1:9000");
    private static final int UNAVAILABLE = 503;

    private final VirtualLoop loop = new VirtualLoop();
    private final InstanceRegistry registry = new InstanceRegistry(
            new RegistrySettings(SECOND, SECOND, SECOND, SECOND, MOST_INSTANCES, MOST_INSTANCES), 0);
    private final OperatorService service = service();

    /** The only controller, which is a quorum by itself. */
    private OperatorService service() {
        RecordingLinks transport = new RecordingLinks();
        ControllerPeers peers = new ControllerPeers(loop, transport, OWN.address());
        CommittedState decided = new CommittedState(RegisterView.ofInitialAcceptors(List.of(OWN)));
        RegisterClient register = new RegisterClient(
                (change, limit) -> CompletableFuture.completedFuture(new ProposalResult.NotStarted()), decided, peers);
        RouterPublisher publisher = new RouterPublisher(loop, transport.codec(), registry);
        QuorumContactMonitor quorum = new QuorumContactMonitor(loop, decided, OWN.storageId());
        InstanceReplicator instances = new InstanceReplicator(loop, registry, peers, publisher, quorum);
        return new OperatorService(loop, register, publisher, instances, quorum, 0);
    }

    private CompletableFuture<Void> announce(int number, InstanceState state, long sequence) {
        return service.announce(new Instance(
                "i-" + number, "service", "10.0.7." + number + ":80", "zone", "v1", 8, state, 0, List.of(), sequence));
    }

    private void fillRegistry() {
        for (int number = 1; number <= MOST_INSTANCES; number++) {
            assertThat(announce(number, InstanceState.READY, 1)).isCompleted();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"READY", "DRAINING"})
    void fullRegistryRejectsAnotherInstanceAsOverloaded(InstanceState state) {
        fillRegistry();
        CompletableFuture<Void> answer = announce(MOST_INSTANCES + 1, state, 1);
        assertThat(answer).isCompletedExceptionally();
        ErrorKind kind = answer.handle((done, failure) -> ((ControlException) failure).kind())
                .join();
        assertThat(kind).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(kind.status()).isEqualTo(UNAVAILABLE);
        assertThat(kind.isRetryable()).isTrue();
        assertThat(registry.find("i-" + (MOST_INSTANCES + 1))).isEmpty();
    }

    /** Also where an announcement comes late, as one that was sent again. */
    @Test
    void fullRegistryAcknowledgesKnownInstances() {
        fillRegistry();
        assertThat(announce(1, InstanceState.READY, 2)).isCompleted();
        assertThat(announce(1, InstanceState.READY, 1)).isCompleted();
        assertThat(announce(2, InstanceState.DRAINING, 2)).isCompleted();
    }

    @Test
    void aRemovedInstanceMakesRoomForAnother() {
        fillRegistry();
        assertThat(announce(MOST_INSTANCES + 1, InstanceState.READY, 1)).isCompletedExceptionally();
        assertThat(service.leave("i-1")).isCompleted();
        assertThat(announce(MOST_INSTANCES + 1, InstanceState.READY, 1)).isCompleted();
        assertThat(registry.find("i-" + (MOST_INSTANCES + 1))).isPresent();
    }
}
