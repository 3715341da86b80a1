package burlarch.controller.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.state.DepartedInstances;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.testing.RecordingLinks;
import burlarch.testing.VirtualLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests that departures are acknowledged only once the register has them, and that many cost few writes. */
class DepartureRecorderTest {
    private static final AcceptorMember OWN = new AcceptorMember("disk-1", "10.0.0.1:9000");
    private static final int MANY = 600;

    private final InMemoryRegister register = new InMemoryRegister(List.of(OWN));
    private final RegisterClient client = new RegisterClient(
            register,
            new CommittedState(RegisterView.ofInitialAcceptors(List.of(OWN))),
            new ControllerPeers(new VirtualLoop(), new RecordingLinks(), OWN.address()));
    private final QuorumContactMonitor quorumContact = new QuorumContactMonitor(
            new VirtualLoop(), new CommittedState(RegisterView.ofInitialAcceptors(List.of(OWN))), OWN.storageId());
    private final DepartureRecorder recorder = new DepartureRecorder(client, quorumContact);

    private DepartedInstances departures() {
        return client.committedState().departures();
    }

    @Test
    void departureCompletesOnceTheRegisterHasIt() {
        register.delay();
        CompletableFuture<Void> recorded = recorder.recordDeparture("i-1");
        assertThat(recorded).isNotDone();
        register.release();
        assertThat(recorded).isCompleted();
        assertThat(departures().numberOf("i-1")).hasValue(1);
    }

    @Test
    void departuresThatArriveDuringAWriteShareTheNextOne() {
        register.delay();
        List<CompletableFuture<Void>> recorded = new ArrayList<>();
        for (int number = 0; number < MANY; number++) {
            recorded.add(recorder.recordDeparture("i-" + number));
        }
        register.release();
        assertThat(recorded).allMatch(CompletableFuture::isDone);
        assertThat(departures().numbers()).hasSize(MANY);
        assertThat(register.writes()).isEqualTo(2);
    }

    @Test
    void failedWriteFailsItsDeparturesAndTheNextOnesAreWritten() {
        register.delay();
        CompletableFuture<Void> failing = recorder.recordDeparture("i-1");
        CompletableFuture<Void> waiting = recorder.recordDeparture("i-2");
        register.failNext();
        register.release();
        assertThat(failing).isCompletedExceptionally();
        assertThat(waiting).isCompleted();
        assertThat(departures().numbers()).containsOnlyKeys("i-2");
    }

    /** Guards against a return that is written late and undoes a departure that was acknowledged meanwhile. */
    @Test
    void lateReturnDoesNotRemoveANewerDeparture() {
        recorder.recordDeparture("i-1");
        register.delay();
        recorder.recordDeparture("i-1");
        recorder.recordReturn("i-1", 1);
        register.release();
        assertThat(departures().numberOf("i-1")).hasValue(2);
        recorder.recordReturn("i-1", 2);
        assertThat(departures().numberOf("i-1")).isEmpty();
        recorder.recordDeparture("i-1");
        assertThat(departures().numberOf("i-1")).hasValue(3);
    }

    @Test
    void oldestDeparturesAreForgottenBeyondTheBound() {
        for (int number = 1; number <= DepartedInstances.MAX_INSTANCES + 2; number++) {
            recorder.recordDeparture("i-" + number);
        }
        assertThat(departures().numbers())
                .hasSize(DepartedInstances.MAX_INSTANCES)
                .doesNotContainKeys("i-1", "i-2");
    }
}
