package burlarch.controller.api;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfiguration;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.error.Problem;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Calls of the operator and of instances, taken from Jetty's threads to the loop. Without contact to a quorum
 * each ends at once with {@link ErrorKind#NO_QUORUM}, so that the caller turns to another controller; what an
 * instance says of itself is put to use all the same. An instance for which there is no room is told so, by
 * {@link ErrorKind#OVERLOADED}: no router would ever hear of it.
 */
public final class OperatorService implements ControlService {
    /**
     * How long routers are waited for before a change or a drain is acknowledged: those cut off won't answer.
     */
    private static final long ROUTER_ACK_TIMEOUT_NANOS = 300_000_000;
    /** How long a first configuration waits for the acceptors that the losses to be borne need. */
    private static final long INITIAL_ACCEPTORS_TIMEOUT_NANOS = 4_000_000_000L;

    private final EventLoop loop;
    private final RegisterClient register;
    private final RouterPublisher publisher;
    private final InstanceReplicator instances;
    private final QuorumContactMonitor quorum;
    private final int requiredAcceptors;
    private final long startedAtNanos;

    /** @param lossesBorne how many acceptors may be lost at once */
    public OperatorService(
            EventLoop loop,
            RegisterClient register,
            RouterPublisher publisher,
            InstanceReplicator instances,
            QuorumContactMonitor quorum,
            int lossesBorne) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
        this.instances = instances;
        this.quorum = quorum;
        requiredAcceptors = 2 * lossesBorne + 1;
        startedAtNanos = loop.nanoTime();
    }

    @Override
    public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
        ConfigurationDocument document;
        try {
            document = ConfigurationDocument.read(body);
        } catch (InvalidConfiguration invalid) {
            return CompletableFuture.failedFuture(rejection(invalid));
        }
        return changeConfiguration(
                "configuration " + document.version(),
                ifMatch,
                document.version(),
                state -> StateChanges.putConfiguration(state, ifMatch, document, document.digest()));
    }

    @Override
    public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
        ConfigurationPatch patch;
        try {
            patch = ConfigurationPatch.read(body);
        } catch (InvalidConfiguration invalid) {
            return CompletableFuture.failedFuture(rejection(invalid));
        }
        return changeConfiguration(
                "patch to " + patch.version(),
                ifMatch,
                patch.version(),
                state -> StateChanges.patchConfiguration(state, ifMatch, patch, patch.digest()));
    }

    private static ControlException rejection(InvalidConfiguration invalid) {
        List<Problem> problems = invalid.problems().stream()
                .map(problem -> new Problem(problem.field(), problem.reason()))
                .toList();
        return new ControlException(ErrorKind.INVALID, problems);
    }

    @Override
    public CompletableFuture<byte[]> readConfiguration() {
        return onLoop(() -> quorum.hasContact() ? register.read() : noQuorum()).thenApply(state -> {
            if (!state.hasConfiguration()) {
                throw new ControlException(ErrorKind.NOT_FOUND);
            }
            return state.configuration();
        });
    }

    @Override
    public CompletableFuture<Void> nameWeights(String model, long version) {
        return change("weights " + model + " " + version, state -> StateChanges.nameWeights(state, model, version));
    }

    private CompletableFuture<Void> changeConfiguration(
            String name, long ifMatch, long version, Function<SystemState, ChangeResult> change) {
        ChangeResult.Unchanged never = StateChanges.rejectionInAnyState(ifMatch, version);
        return never == null ? change(name, change) : CompletableFuture.failedFuture(never.failure());
    }

    private CompletableFuture<Void> change(String name, Function<SystemState, ChangeResult> change) {
        return onLoop(() -> {
            if (tooFewAcceptors() || !quorum.hasContact()) {
                return OperatorService.<Void>noQuorum();
            }
            return register.change(change)
                    .thenCompose(state ->
                            publisher.awaitConfiguration(state.configurationVersion(), ROUTER_ACK_TIMEOUT_NANOS))
                    .whenComplete((done, failure) ->
                            Logger.info("{}: {}", name, failure == null ? "in force" : failure.getMessage()));
        });
    }

    private static <T> CompletableFuture<T> noQuorum() {
        return CompletableFuture.failedFuture(new ControlException(ErrorKind.NO_QUORUM));
    }

    private static <T> CompletableFuture<T> registryFull() {
        return CompletableFuture.failedFuture(new ControlException(ErrorKind.OVERLOADED));
    }

    private boolean tooFewAcceptors() {
        return register.acceptors().votingMembers().size() < requiredAcceptors
                && loop.nanoTime() - startedAtNanos < INITIAL_ACCEPTORS_TIMEOUT_NANOS;
    }

    @Override
    public CompletableFuture<Void> announce(Instance instance) {
        return onLoop(() -> {
            boolean leaves = instance.state() == InstanceState.DRAINING;
            boolean known = instances.announce(instance);
            return known ? acknowledge(leaves) : registryFull();
        });
    }

    @Override
    public CompletableFuture<Void> leave(String id) {
        return onLoop(() -> {
            instances.onLeft(id);
            return acknowledge(true);
        });
    }

    /** @param leaves whether the routers have to know first that no request may be sent any more */
    private CompletableFuture<Void> acknowledge(boolean leaves) {
        if (!quorum.hasContact()) {
            return noQuorum();
        }
        return leaves
                ? publisher.awaitInstances(instances.revision(), ROUTER_ACK_TIMEOUT_NANOS)
                : CompletableFuture.completedFuture(null);
    }

    private <T> CompletableFuture<T> onLoop(Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                call.get().whenComplete((value, failure) -> {
                    if (failure == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(failure);
                    }
                });
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }
}
