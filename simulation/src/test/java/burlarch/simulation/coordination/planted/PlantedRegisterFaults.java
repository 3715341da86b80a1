package burlarch.simulation.coordination.planted;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.register.Proposer;
import burlarch.controller.state.AppliedChanges;
import burlarch.controller.state.DepartedInstances;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterMessage.AcceptRequest;
import burlarch.coordination.register.RegisterMessage.AcceptResponse;
import burlarch.coordination.register.RegisterMessage.PrepareRequest;
import burlarch.coordination.register.RegisterMessage.PrepareResponse;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.simulation.NodeContext;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.disk.SimulatedDisk;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Component overrides that each plant one fault in an acceptor or a proposer. */
final class PlantedRegisterFaults {
    private PlantedRegisterFaults() {}

    /** An acceptor responds before its state is durable: the disk ignores syncs. */
    static final class RepliesBeforeSync implements ComponentOverrides {
        @Override
        public SimulatedDisk.SyncMode diskSyncMode() {
            return SimulatedDisk.SyncMode.IGNORED;
        }
    }

    /** An erased disk keeps the storage identity of the lost disk, and with it its vote. */
    static final class ErasedDiskKeepsIdentity implements ComponentOverrides {
        @Override
        public String diskIdentity(String address, String fresh) {
            return "first-" + address;
        }
    }

    /** All empty disks get the same storage identity. */
    static final class EmptyDisksShareIdentity implements ComponentOverrides {
        @Override
        public String diskIdentity(String address, String fresh) {
            return "another";
        }
    }

    /** Replaces the value that a proposal writes. */
    private abstract static class RewritesProposedValues implements ComponentOverrides {
        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer realProposer) {
                    return (change, timeoutNanos) -> realProposer.propose(
                            current -> {
                                ChangeDecision decision = change.decide(current);
                                return decision instanceof ChangeDecision.Write write
                                        ? new ChangeDecision.Write(rewrite(current, write.next()))
                                        : decision;
                            },
                            timeoutNanos);
                }
            };
        }

        abstract RegisterValue rewrite(RegisterValue current, RegisterValue next);
    }

    /** The record of applied changes is lost at the next change. */
    static final class ForgetsAppliedChanges implements ComponentOverrides {
        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer realProposer) {
                    return (change, timeoutNanos) -> realProposer.propose(
                            current -> change.decide(current == null ? null : withoutAppliedChanges(current)),
                            timeoutNanos);
                }
            };
        }

        private static RegisterValue withoutAppliedChanges(RegisterValue current) {
            SystemState state = SystemStateCodec.decode(current.payload());
            SystemState stateWithoutAppliedChanges = new SystemState(
                    state.configurationVersion(),
                    state.configuration(),
                    AppliedChanges.NONE,
                    state.weights(),
                    state.owners(),
                    state.nextToken(),
                    state.departures());
            return new RegisterValue(current.members(), SystemStateCodec.encode(stateWithoutAppliedChanges));
        }
    }

    /** Departures of instances are acknowledged and not kept in the register. */
    static final class ForgetsDepartures extends RewritesProposedValues {
        @Override
        RegisterValue rewrite(RegisterValue current, RegisterValue next) {
            SystemState state = SystemStateCodec.decode(next.payload());
            SystemState stateWithoutDepartures = new SystemState(
                    state.configurationVersion(),
                    state.configuration(),
                    state.appliedChanges(),
                    state.weights(),
                    state.owners(),
                    state.nextToken(),
                    DepartedInstances.NONE);
            return new RegisterValue(next.members(), SystemStateCodec.encode(stateWithoutDepartures));
        }
    }

    /** A removed acceptor keeps its vote. */
    static final class RemovedAcceptorKeepsVote extends RewritesProposedValues {
        @Override
        RegisterValue rewrite(RegisterValue current, RegisterValue next) {
            if (current == null) {
                return next;
            }
            List<AcceptorMember> membersWithRemoved = new ArrayList<>(next.members());
            for (AcceptorMember member : current.members()) {
                if (membersWithRemoved.stream()
                        .noneMatch(other -> other.storageId().equals(member.storageId()))) {
                    membersWithRemoved.add(member);
                }
            }
            return new RegisterValue(membersWithRemoved, next.payload());
        }
    }

    /** Intercepts incoming register messages of a controller. */
    private abstract static class RewritesRegisterMessages implements ComponentOverrides {
        @Override
        public PeerConnectionListener controllerListener(PeerConnectionListener real) {
            return new ForwardingConnectionListener(real) {
                @Override
                public void onMessage(PeerConnection connection, NodeMessage message) {
                    if (message instanceof NodeMessage.RegisterProtocol register) {
                        onRegister(real, connection, register.message());
                    } else {
                        super.onMessage(connection, message);
                    }
                }
            };
        }

        abstract void onRegister(PeerConnectionListener real, PeerConnection connection, RegisterMessage message);

        static void forward(PeerConnectionListener real, PeerConnection connection, RegisterMessage message) {
            real.onMessage(connection, new NodeMessage.RegisterProtocol(message));
        }
    }

    /** An acceptor sometimes responds with a stale promise that it gave for another proposal number. */
    static final class SendsStalePromises extends RewritesRegisterMessages {
        private static final int CALLS_PER_STALE_PROMISE = 4;
        private final Map<PeerConnectionListener, PrepareResponse> lastPromises = new HashMap<>();
        private int prepareCount;

        @Override
        void onRegister(PeerConnectionListener real, PeerConnection connection, RegisterMessage message) {
            if (!(message instanceof PrepareRequest prepare)) {
                forward(real, connection, message);
                return;
            }
            PrepareResponse stalePromise = lastPromises.get(real);
            if (stalePromise != null && prepareCount++ % CALLS_PER_STALE_PROMISE == 0) {
                connection.send(new NodeMessage.RegisterProtocol(new PrepareResponse(
                        prepare.callId(),
                        stalePromise.storageId(),
                        true,
                        prepare.proposalNumber(),
                        stalePromise.accepted(),
                        stalePromise.value())));
                return;
            }
            forward(
                    real,
                    new RewritingConnection(connection, sent -> {
                        if (sent instanceof NodeMessage.RegisterProtocol register
                                && register.message() instanceof PrepareResponse promise
                                && promise.granted()) {
                            lastPromises.put(real, promise);
                        }
                        return sent;
                    }),
                    message);
        }
    }

    /** A rejected accept request counts as a vote. */
    static final class CountsRejectionAsVote extends RewritesRegisterMessages {
        @Override
        void onRegister(PeerConnectionListener real, PeerConnection connection, RegisterMessage message) {
            if (!(message instanceof AcceptRequest accept)) {
                forward(real, connection, message);
                return;
            }
            forward(
                    real,
                    new RewritingConnection(
                            connection,
                            sent -> sent instanceof NodeMessage.RegisterProtocol register
                                            && register.message() instanceof AcceptResponse rejection
                                            && !rejection.granted()
                                    ? new NodeMessage.RegisterProtocol(new AcceptResponse(
                                            rejection.callId(), rejection.storageId(), true, accept.proposalNumber()))
                                    : sent),
                    message);
        }
    }

    /** A controller treats a value as committed once it receives an accept request for it. */
    static final class TreatsAcceptRequestAsCommitted extends RewritesRegisterMessages {
        @Override
        void onRegister(PeerConnectionListener real, PeerConnection connection, RegisterMessage message) {
            forward(real, connection, message);
            if (message instanceof AcceptRequest accept) {
                real.onMessage(connection, new NodeMessage.Committed(accept.proposalNumber(), accept.value()));
            }
        }
    }

    /** The vote of one acceptor counts for every acceptor that ever sent a promise. */
    static final class CountsVoteForAllAcceptors extends RewritesRegisterMessages {
        private final Set<String> storageIds = new TreeSet<>();

        @Override
        void onRegister(PeerConnectionListener real, PeerConnection connection, RegisterMessage message) {
            if (message instanceof PrepareResponse promise) {
                storageIds.add(promise.storageId());
            }
            forward(real, connection, message);
            if (message instanceof AcceptResponse accepted && accepted.granted()) {
                storageIds.forEach(other -> forward(
                        real, connection, new AcceptResponse(accepted.callId(), other, true, accepted.prepared())));
            }
        }
    }
}
