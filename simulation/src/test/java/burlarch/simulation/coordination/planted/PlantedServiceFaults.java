package burlarch.simulation.coordination.planted;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.ControllerRuntime;
import burlarch.controller.api.ControlService;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.register.Proposer;
import burlarch.controller.state.AppliedChange;
import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Component overrides that each plant one fault in the control service for operators and instances. */
final class PlantedServiceFaults {
    private PlantedServiceFaults() {}

    /** Routers receive a configuration before it is committed. */
    static final class SendsUncommittedConfiguration implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
                    try {
                        ConfigurationDocument document = ConfigurationDocument.parse(body);
                        routers.forEach(router ->
                                router.send(new NodeMessage.ConfigurationUpdate(document.version(), document.json())));
                    } catch (InvalidConfigurationException invalid) {
                        // The real call rejects it.
                    }
                    return super.putConfiguration(body, ifMatch);
                }
            };
        }
    }

    /** A drain is acknowledged and dropped. */
    static final class DropsDrains implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> announce(Instance instance) {
                    return instance.state() == InstanceState.DRAINING
                            ? CompletableFuture.completedFuture(null)
                            : super.announce(instance);
                }
            };
        }
    }

    /** A leave is acknowledged and dropped. */
    static final class DropsLeaves implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> leave(String id) {
                    return CompletableFuture.completedFuture(null);
                }
            };
        }
    }

    /** A change is acknowledged when it is requested, before it is committed. */
    static final class AcknowledgesBeforeCommit implements ComponentOverrides {
        private static final long MAX_PROPOSAL_NANOS = 20 * Simulation.MILLISECOND;

        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer realProposer) {
                    return (change, timeoutNanos) ->
                            realProposer.propose(change, Math.min(timeoutNanos, MAX_PROPOSAL_NANOS));
                }
            };
        }

        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
                    super.patchConfiguration(body, ifMatch);
                    return CompletableFuture.completedFuture(null);
                }
            };
        }
    }

    /** A change is acknowledged once it is committed, before routers have applied it. */
    static final class AcknowledgesBeforeRoutersApply implements ComponentOverrides {
        private record PendingResponse(AppliedChange change, CompletableFuture<Void> response) {}

        private final Map<ControllerRuntime, List<PendingResponse>> pendingResponses = new HashMap<>();

        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer realProposer) {
                    return (change, timeoutNanos) -> realProposer
                            .propose(change, timeoutNanos)
                            .whenComplete((result, failure) -> loop.execute(() -> completeCommitted(this)));
                }
            };
        }

        private void completeCommitted(ControllerRuntime core) {
            List<PendingResponse> pending = pendingResponses.getOrDefault(core, new ArrayList<>());
            pending.stream()
                    .filter(entry -> core.committedState().appliedChanges().recall(entry.change) == Recall.APPLIED)
                    .forEach(entry -> entry.response.complete(null));
            pending.removeIf(entry -> entry.response.isDone());
        }

        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
                    CompletableFuture<Void> response = super.putConfiguration(body, ifMatch);
                    try {
                        ConfigurationDocument document = ConfigurationDocument.parse(body);
                        pendingResponses
                                .computeIfAbsent(core, key -> new ArrayList<>())
                                .add(new PendingResponse(
                                        AppliedChange.put(ifMatch, document.version(), document.digest()), response));
                    } catch (InvalidConfigurationException invalid) {
                        // The real call rejects it.
                    }
                    return response;
                }
            };
        }
    }

    /** A change is rejected from this controller's local state, without contacting a quorum. */
    static final class RejectsByLocalState implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
                    return conflictsWithLocalState(core, ifMatch) ? rejected() : super.putConfiguration(body, ifMatch);
                }

                @Override
                public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
                    return conflictsWithLocalState(core, ifMatch)
                            ? rejected()
                            : super.patchConfiguration(body, ifMatch);
                }
            };
        }

        private static boolean conflictsWithLocalState(ControllerRuntime core, long ifMatch) {
            return core.committedState().hasConfiguration()
                    && core.committedState().configurationVersion() != ifMatch;
        }

        private static CompletableFuture<Void> rejected() {
            return CompletableFuture.failedFuture(new ControlException(ErrorKind.CONFLICT));
        }
    }

    /** A read returns this controller's local state, without contacting a quorum. */
    static final class ReadsLocalState implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<byte[]> readConfiguration() {
                    return core.committedState().hasConfiguration()
                            ? CompletableFuture.completedFuture(
                                    core.committedState().configuration())
                            : super.readConfiguration();
                }
            };
        }
    }

    /** A read gets 404 while this controller's local state is empty. */
    static final class ReportsNotFoundByLocalState implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<byte[]> readConfiguration() {
                    return core.committedState().hasConfiguration()
                            ? super.readConfiguration()
                            : CompletableFuture.failedFuture(new ControlException(ErrorKind.NOT_FOUND));
                }
            };
        }
    }

    /** A change is applied to the current version, whatever its base version is. */
    static final class IgnoresBaseVersion implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
                    return super.putConfiguration(body, core.committedState().configurationVersion());
                }
            };
        }
    }

    /** A request that names weights is acknowledged and dropped. */
    static final class DropsWeights implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> setWeightsVersion(String model, long version) {
                    return CompletableFuture.completedFuture(null);
                }
            };
        }
    }

    /** A call with an unknown outcome is answered as rejected. */
    static final class ReportsUnclearAsRejected implements ComponentOverrides {
        @Override
        public ControlService controlService(
                ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
            return new ForwardingControlService(real) {
                @Override
                public CompletableFuture<Void> putConfiguration(byte[] body, long ifMatch) {
                    return rejectIfUnclear(super.putConfiguration(body, ifMatch));
                }

                @Override
                public CompletableFuture<Void> patchConfiguration(byte[] body, long ifMatch) {
                    return rejectIfUnclear(super.patchConfiguration(body, ifMatch));
                }
            };
        }

        private static CompletableFuture<Void> rejectIfUnclear(CompletableFuture<Void> response) {
            return response.exceptionally(failure -> {
                Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
                boolean unclear = cause instanceof ControlException error && error.kind() == ErrorKind.UNCLEAR;
                throw unclear ? new ControlException(ErrorKind.CONFLICT) : new CompletionException(cause);
            });
        }
    }
}
