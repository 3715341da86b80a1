package burlarch.controller.api;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.CommittedState;
import burlarch.controller.register.DepartureRecorder;
import burlarch.controller.register.InMemoryRegister;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
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
 * Tests the responses to announcements and leaves, also when the registry is full. An earlier version acknowledged an
 * instance that the full registry had rejected, so the instance stayed with this controller and never received a
 * request.
 */
class OperatorServiceTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int MAX_INSTANCES = 2;
    private static final AcceptorMember OWN = new AcceptorMember("disk-1", "10.0.0.1:9000");
    private static final int UNAVAILABLE = 503;

    private final VirtualLoop loop = new VirtualLoop();
    private final InstanceRegistry registry = new InstanceRegistry(
            new RegistrySettings(SECOND_NANOS, SECOND_NANOS, SECOND_NANOS, SECOND_NANOS, MAX_INSTANCES, MAX_INSTANCES),
            0);
    private final InMemoryRegister register = new InMemoryRegister(List.of(OWN));
    private final OperatorService service = service();

    /** Creates the service of the only controller, which is a quorum by itself. */
    private OperatorService service() {
        RecordingLinks connections = new RecordingLinks();
        ControllerPeers peers = new ControllerPeers(loop, connections, OWN.address());
        CommittedState committed = new CommittedState(RegisterView.ofInitialAcceptors(List.of(OWN)));
        RegisterClient client = new RegisterClient(register, committed, peers);
        RouterPublisher publisher = new RouterPublisher(loop, connections.codec(), registry);
        QuorumContactMonitor quorumContact = new QuorumContactMonitor(loop, committed, OWN.storageId());
        InstanceReplicator instances = new InstanceReplicator(
                loop, registry, peers, publisher, quorumContact, new DepartureRecorder(client, quorumContact));
        committed.addListener(
                (state, origin) -> instances.onDepartures(state.departures().numbers()));
        return new OperatorService(loop, client, publisher, instances, quorumContact, 0);
    }

    private CompletableFuture<Void> announce(int number, InstanceState state, long sequence) {
        return service.announce(new Instance(
                "i-" + number, "service", "10.0.7." + number + ":80", "zone", "v1", 8, state, 0, List.of(), sequence));
    }

    private void fillRegistry() {
        for (int number = 1; number <= MAX_INSTANCES; number++) {
            assertThat(announce(number, InstanceState.READY, 1)).isCompleted();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"READY", "DRAINING"})
    void fullRegistryRejectsAnotherInstanceAsOverloaded(InstanceState state) {
        fillRegistry();
        CompletableFuture<Void> response = announce(MAX_INSTANCES + 1, state, 1);
        assertThat(response).isCompletedExceptionally();
        ErrorKind kind = response.handle((done, failure) -> ((ControlException) failure).kind())
                .join();
        assertThat(kind).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(kind.status()).isEqualTo(UNAVAILABLE);
        assertThat(kind.isRetryable()).isTrue();
        assertThat(registry.find("i-" + (MAX_INSTANCES + 1))).isEmpty();
    }

    /** Also if the announcement is outdated because it was delayed or sent again. */
    @Test
    void fullRegistryAcknowledgesKnownInstances() {
        fillRegistry();
        assertThat(announce(1, InstanceState.READY, 2)).isCompleted();
        assertThat(announce(1, InstanceState.READY, 1)).isCompleted();
        assertThat(announce(2, InstanceState.DRAINING, 2)).isCompleted();
    }

    @Test
    void removedInstanceMakesRoomForAnother() {
        fillRegistry();
        assertThat(announce(MAX_INSTANCES + 1, InstanceState.READY, 1)).isCompletedExceptionally();
        assertThat(service.leave("i-1")).isCompleted();
        assertThat(announce(MAX_INSTANCES + 1, InstanceState.READY, 1)).isCompleted();
        assertThat(registry.find("i-" + (MAX_INSTANCES + 1))).isPresent();
    }

    /** Guards against a leave that is acknowledged while only the memory of the controllers knows of it. */
    @Test
    void leaveIsAcknowledgedOnlyOnceTheRegisterHasIt() {
        assertThat(announce(1, InstanceState.READY, 1)).isCompleted();
        register.delay();
        CompletableFuture<Void> leave = service.leave("i-1");
        assertThat(registry.find("i-1"))
                .hasValueSatisfying(left -> assertThat(left.state()).isEqualTo(InstanceState.GONE));
        assertThat(leave).isNotDone();
        register.release();
        assertThat(leave).isCompleted();
    }

    @Test
    void leaveOfAnInvalidNameIsRejected() {
        assertThat(service.leave("i".repeat(1000))).isCompletedExceptionally();
    }

    @Test
    void drainIsRecordedOnceHoweverOftenItIsAnnounced() {
        assertThat(announce(1, InstanceState.READY, 1)).isCompleted();
        for (int sequence = 2; sequence < 6; sequence++) {
            assertThat(announce(1, InstanceState.DRAINING, sequence)).isCompleted();
        }
        assertThat(register.writes()).isEqualTo(1);
    }
}
