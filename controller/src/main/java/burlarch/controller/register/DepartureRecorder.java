package burlarch.controller.register;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.state.StateChanges;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Recorder of departures and returns of instances in the register. Runs on the event loop.
 *
 * <p>One write of departures is under way at a time; those that arrive meanwhile go into the next one, so that many
 * instances that leave at once cost few writes. What waits is bounded by the calls that the control API accepts.
 */
public final class DepartureRecorder {
    private enum WriteState {
        IDLE,
        WRITING
    }

    private final RegisterClient register;
    private final QuorumContactMonitor quorumContact;
    private final Map<String, CompletableFuture<Void>> waitingDepartures = new LinkedHashMap<>();
    /** Ids of the instances whose return is being written. */
    private final Set<String> returning = new HashSet<>();

    private WriteState writeState = WriteState.IDLE;

    /** Creates a recorder without waiting departures. */
    public DepartureRecorder(RegisterClient register, QuorumContactMonitor quorumContact) {
        this.register = register;
        this.quorumContact = quorumContact;
    }

    /**
     * Records that an instance drains or has left.
     *
     * @param id a {@linkplain StateChanges#isValidName valid name}
     * @return future that completes when the register contains the departure; it fails with a
     *     {@link ControlException}, at once if this controller has no contact to a quorum
     */
    public CompletableFuture<Void> recordDeparture(String id) {
        if (!quorumContact.hasContact()) {
            return CompletableFuture.failedFuture(new ControlException(ErrorKind.NO_QUORUM));
        }
        CompletableFuture<Void> recorded = waitingDepartures.computeIfAbsent(id, key -> new CompletableFuture<>());
        writeIfIdle();
        return recorded;
    }

    private void writeIfIdle() {
        if (writeState == WriteState.WRITING || waitingDepartures.isEmpty()) {
            return;
        }
        writeState = WriteState.WRITING;
        List<String> ids = List.copyOf(waitingDepartures.keySet());
        List<CompletableFuture<Void>> batch = new ArrayList<>(waitingDepartures.values());
        waitingDepartures.clear();
        register.change(state -> StateChanges.instancesDeparted(state, ids)).whenComplete((state, failure) -> {
            writeState = WriteState.IDLE;
            batch.forEach(recorded -> complete(recorded, failure));
            writeIfIdle();
        });
    }

    private static void complete(CompletableFuture<Void> recorded, Throwable failure) {
        if (failure == null) {
            recorded.complete(null);
        } else {
            recorded.completeExceptionally(failure);
        }
    }

    /**
     * Records that an instance announces itself again after its departure. If that fails, its next heartbeat calls this
     * method again.
     *
     * @param departure number of the departure from which it has returned
     */
    public void recordReturn(String id, long departure) {
        if (returning.add(id)) {
            register.change(state -> StateChanges.instanceReturned(state, id, departure))
                    .whenComplete((state, failure) -> returning.remove(id));
        }
    }
}
