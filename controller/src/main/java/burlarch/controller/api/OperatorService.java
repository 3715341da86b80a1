package burlarch.controller.api;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.transport.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Implementation of the control API: executes the calls of operators and instances on the controller's event loop.
 * Methods may be called on any thread; the futures complete on the loop.
 *
 * <p>Without contact to a quorum every call fails at once with {@link ErrorKind#NO_QUORUM}, so that the caller switches
 * to another controller; an instance's announcement or leave is applied nevertheless. A drain or leave is acknowledged
 * once the routers know of it and the register contains it. An instance for which the registry has no
 * room is rejected with {@link ErrorKind#OVERLOADED}, because no router would ever learn of it.
 */
public final class OperatorService implements ControlService {
    /**
     * Time for which a change or a drain waits for the routers' acknowledgements; a disconnected router never sends
     * one.
     */
    private static final long ROUTER_ACK_TIMEOUT_NANOS = 300_000_000;
    /**
     * Time after the start for which changes are rejected while there are fewer acceptors than the tolerated losses
     * require.
     */
    private static final long INITIAL_ACCEPTORS_TIMEOUT_NANOS = 4_000_000_000L;

    /** A body up to this size is parsed at once. */
    private static final int SMALL_BODY_BYTES = 512 << 10;

    private final Object largeBodyLock = new Object();
    private final EventLoop loop;
    private final RegisterClient register;
    private final RouterPublisher publisher;
    private final InstanceReplicator instances;
    private final QuorumContactMonitor quorumContact;
    private final int requiredAcceptors;
    private final long startedAtNanos;

    /** @param toleratedLosses the number of acceptors that may be lost at the same time */
    public OperatorService(
            EventLoop loop,
            RegisterClient register,
            RouterPublisher publisher,
            InstanceReplicator instances,
            QuorumContactMonitor quorumContact,
            int toleratedLosses) {
        this.loop = loop;
        this.register = register;
        this.publisher = publisher;
        this.instances = instances;
        this.quorumContact = quorumContact;
        requiredAcceptors = 2 * toleratedLosses + 1;
        startedAtNanos = loop.nanoTime();
    }

    @Override
    public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
        ConfigurationDocument document;
        try {
            document = parse(body, ConfigurationDocument::parse);
        } catch (InvalidConfigurationException invalidConfiguration) {
            return CompletableFuture.failedFuture(rejection(invalidConfiguration));
        }
        return changeConfiguration(
                "put configuration " + document.version(),
                ifMatch,
                document.version(),
                state -> StateChanges.putConfiguration(state, ifMatch, document, document.digest()));
    }

    @Override
    public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
        ConfigurationPatch patch;
        try {
            patch = parse(body, ConfigurationPatch::parse);
        } catch (InvalidConfigurationException invalidConfiguration) {
            return CompletableFuture.failedFuture(rejection(invalidConfiguration));
        }
        return changeConfiguration(
                "patch configuration " + patch.version(),
                ifMatch,
                patch.version(),
                state -> StateChanges.patchConfiguration(state, ifMatch, patch, patch.digest()));
    }

    /** Parser of a body. */
    private interface BodyParser<T> {
        T parse(byte[] body) throws InvalidConfigurationException;
    }

    /** Parses large bodies one after the other: while a body is parsed, it occupies many times its length. */
    private <T> T parse(byte[] body, BodyParser<T> parser) throws InvalidConfigurationException {
        if (body.length <= SMALL_BODY_BYTES) {
            return parser.parse(body);
        }
        synchronized (largeBodyLock) {
            return parser.parse(body);
        }
    }

    private static ControlException rejection(InvalidConfigurationException invalidConfiguration) {
        return new ControlException(ErrorKind.INVALID, invalidConfiguration.problems());
    }

    @Override
    public CompletableFuture<byte[]> readConfiguration() {
        return callOnLoop(() -> quorumContact.hasContact() ? register.read() : noQuorum())
                .thenApply(state -> {
                    if (!state.hasConfiguration()) {
                        throw new ControlException(ErrorKind.NOT_FOUND);
                    }
                    return state.configuration();
                });
    }

    @Override
    public CompletableFuture<Void> setWeightsVersion(String model, long version) {
        return change(
                "name weights " + model + " " + version,
                state -> StateChanges.setWeightsVersion(state, model, version));
    }

    private CompletableFuture<Void> changeConfiguration(
            String name, long ifMatch, long version, Function<SystemState, ChangeResult> change) {
        Optional<ChangeResult.Unchanged> rejection = StateChanges.rejectionInAnyState(ifMatch, version);
        return rejection.isPresent()
                ? CompletableFuture.failedFuture(rejection.get().failure())
                : change(name, change);
    }

    private CompletableFuture<Void> change(String name, Function<SystemState, ChangeResult> change) {
        return callOnLoop(() -> {
            if (tooFewAcceptors() || !quorumContact.hasContact()) {
                return OperatorService.<Void>noQuorum();
            }
            return register.change(change)
                    .thenCompose(state ->
                            publisher.awaitConfiguration(state.configurationVersion(), ROUTER_ACK_TIMEOUT_NANOS))
                    .whenComplete((done, failure) -> logChangeResult(name, failure));
        });
    }

    private static void logChangeResult(String change, Throwable failure) {
        if (failure == null) {
            Logger.info("change committed: change=\"{}\"", change);
        } else {
            Logger.info("change not confirmed: change=\"{}\" error=\"{}\"", change, failure.getMessage());
        }
    }

    private static <T> CompletableFuture<T> noQuorum() {
        return CompletableFuture.failedFuture(new ControlException(ErrorKind.NO_QUORUM));
    }

    private static <T> CompletableFuture<T> registryFull() {
        return CompletableFuture.failedFuture(new ControlException(ErrorKind.OVERLOADED));
    }

    /**
     * Whether the acceptor set may still be growing after the start; a change committed by too few acceptors might not
     * survive the tolerated losses.
     */
    private boolean tooFewAcceptors() {
        return register.acceptors().votingMembers().size() < requiredAcceptors
                && loop.nanoTime() - startedAtNanos < INITIAL_ACCEPTORS_TIMEOUT_NANOS;
    }

    @Override
    public CompletableFuture<Void> announce(Instance instance) {
        if (!StateChanges.isValidName(instance.id())) {
            return invalidId();
        }
        return callOnLoop(() -> {
            if (instance.state() != InstanceState.DRAINING) {
                return instances.announce(instance) ? acknowledge() : registryFull();
            }
            CompletableFuture<Void> recorded = instances.recordDrain(instance.id());
            return instances.announce(instance) ? acknowledgeDeparture(recorded) : registryFull();
        });
    }

    @Override
    public CompletableFuture<Void> leave(String id) {
        if (!StateChanges.isValidName(id)) {
            return invalidId();
        }
        return callOnLoop(() -> acknowledgeDeparture(instances.onLeft(id)));
    }

    private static CompletableFuture<Void> invalidId() {
        return CompletableFuture.failedFuture(new ControlException(ErrorKind.INVALID, "id", "must be a name"));
    }

    /** Completes once the routers know of an instance's drain or leave and the register contains it. */
    private CompletableFuture<Void> acknowledgeDeparture(CompletableFuture<Void> recorded) {
        CompletableFuture<Void> routersNotified = acknowledgeAfterRouters();
        return tooFewAcceptors() ? noQuorum() : recorded.thenCompose(done -> routersNotified);
    }

    private CompletableFuture<Void> acknowledge() {
        return quorumContact.hasContact() ? CompletableFuture.completedFuture(null) : noQuorum();
    }

    /** Completes once the routers know that they must not send the instance any further requests. */
    private CompletableFuture<Void> acknowledgeAfterRouters() {
        return quorumContact.hasContact()
                ? publisher.awaitInstances(instances.revision(), ROUTER_ACK_TIMEOUT_NANOS)
                : noQuorum();
    }

    private <T> CompletableFuture<T> callOnLoop(Supplier<CompletableFuture<T>> call) {
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
            } catch (RuntimeException unexpected) {
                result.completeExceptionally(unexpected);
            }
        });
        return result;
    }
}
