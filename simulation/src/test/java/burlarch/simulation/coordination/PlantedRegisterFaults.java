package burlarch.simulation.coordination;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.register.Proposer;
import burlarch.controller.state.AppliedChanges;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.Decision;
import burlarch.coordination.register.Member;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterMessage.Accept;
import burlarch.coordination.register.RegisterMessage.Accepted;
import burlarch.coordination.register.RegisterMessage.Prepare;
import burlarch.coordination.register.RegisterMessage.Promise;
import burlarch.coordination.register.RegisterValue;
import burlarch.simulation.NodeContext;
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

/** Acceptors and proposers with one fault each. */
final class PlantedRegisterFaults {
    private PlantedRegisterFaults() {}

    /** An acceptor answers before what it says is on the disk. */
    static final class RepliesBeforeSync implements ComponentOverrides {
        @Override
        public boolean honestDisks() {
            return false;
        }
    }

    /** A disk that came back empty takes the vote of the one that was lost. */
    static final class KeepsIdentity implements ComponentOverrides {
        @Override
        public String identity(String address, String fresh) {
            return "first-" + address;
        }
    }

    /** Empty disks all come with one identity. */
    static final class SharesIdentity implements ComponentOverrides {
        @Override
        public String identity(String address, String fresh) {
            return "another";
        }
    }

    /** Changes what a proposal writes. */
    private abstract static class RewritesValues implements ComponentOverrides {
        @Override
        public ControllerRuntime core(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer driver) {
                    return (change, limit) -> driver.propose(
                            current -> {
                                Decision decision = change.decide(current);
                                return decision instanceof Decision.Write write
                                        ? new Decision.Write(rewrite(current, write.next()))
                                        : decision;
                            },
                            limit);
                }
            };
        }

        abstract RegisterValue rewrite(RegisterValue current, RegisterValue next);
    }

    /** What was taken is known again only until the next change. */
    static final class ForgetsDigests implements ComponentOverrides {
        @Override
        public ControllerRuntime core(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer driver) {
                    return (change, limit) -> driver.propose(
                            current -> change.decide(current == null ? null : forgetful(current)), limit);
                }
            };
        }

        private static RegisterValue forgetful(RegisterValue current) {
            SystemState state = SystemStateCodec.decode(current.payload());
            SystemState stripped = new SystemState(
                    state.configurationVersion(),
                    state.configuration(),
                    AppliedChanges.NONE,
                    state.weights(),
                    state.owners(),
                    state.nextToken());
            return new RegisterValue(current.members(), SystemStateCodec.encode(stripped));
        }
    }

    /** An acceptor that was removed keeps its vote. */
    static final class RemovedStillCounts extends RewritesValues {
        @Override
        RegisterValue rewrite(RegisterValue current, RegisterValue next) {
            if (current == null) {
                return next;
            }
            List<Member> all = new ArrayList<>(next.members());
            for (Member member : current.members()) {
                if (all.stream().noneMatch(other -> other.storage().equals(member.storage()))) {
                    all.add(member);
                }
            }
            return new RegisterValue(all, next.payload());
        }
    }

    /** Changes messages of the register on their way in. */
    private abstract static class RewritesMessages implements ComponentOverrides {
        @Override
        public PeerConnectionListener controllerListener(PeerConnectionListener real) {
            return new PassingListener(real) {
                @Override
                public void onMessage(PeerConnection link, NodeMessage message) {
                    if (message instanceof NodeMessage.RegisterProtocol register) {
                        onRegister(real, link, register.message());
                    } else {
                        super.onMessage(link, message);
                    }
                }
            };
        }

        abstract void onRegister(PeerConnectionListener real, PeerConnection link, RegisterMessage message);

        static void pass(PeerConnectionListener real, PeerConnection link, RegisterMessage message) {
            real.onMessage(link, new NodeMessage.RegisterProtocol(message));
        }
    }

    /** An acceptor now and then answers with what it told another ballot of that proposer. */
    static final class OldPromises extends RewritesMessages {
        private static final int ONE_IN = 4;
        private final Map<PeerConnectionListener, Promise> last = new HashMap<>();
        private int calls;

        @Override
        void onRegister(PeerConnectionListener real, PeerConnection link, RegisterMessage message) {
            if (!(message instanceof Prepare prepare)) {
                pass(real, link, message);
                return;
            }
            Promise old = last.get(real);
            if (old != null && calls++ % ONE_IN == 0) {
                link.send(new NodeMessage.RegisterProtocol(new Promise(
                        prepare.call(), old.storage(), true, prepare.ballot(), old.accepted(), old.value())));
                return;
            }
            pass(
                    real,
                    new RewritingLink(link, sent -> {
                        if (sent instanceof NodeMessage.RegisterProtocol register
                                && register.message() instanceof Promise promise
                                && promise.granted()) {
                            last.put(real, promise);
                        }
                        return sent;
                    }),
                    message);
        }
    }

    /** A refused write counts as a vote. */
    static final class RefusalsCount extends RewritesMessages {
        @Override
        void onRegister(PeerConnectionListener real, PeerConnection link, RegisterMessage message) {
            if (!(message instanceof Accept accept)) {
                pass(real, link, message);
                return;
            }
            pass(
                    real,
                    new RewritingLink(
                            link,
                            sent -> sent instanceof NodeMessage.RegisterProtocol register
                                            && register.message() instanceof Accepted refused
                                            && !refused.granted()
                                    ? new NodeMessage.RegisterProtocol(
                                            new Accepted(refused.call(), refused.storage(), true, accept.ballot()))
                                    : sent),
                    message);
        }
    }

    /** What one acceptor was asked to take is taken for chosen. */
    static final class AcceptedIsChosen extends RewritesMessages {
        @Override
        void onRegister(PeerConnectionListener real, PeerConnection link, RegisterMessage message) {
            pass(real, link, message);
            if (message instanceof Accept accept) {
                real.onMessage(link, new NodeMessage.Committed(accept.ballot(), accept.value()));
            }
        }
    }

    /** One vote counts for all acceptors that were ever heard of. */
    static final class OneVoteForAll extends RewritesMessages {
        private final Set<String> storages = new TreeSet<>();

        @Override
        void onRegister(PeerConnectionListener real, PeerConnection link, RegisterMessage message) {
            if (message instanceof Promise promise) {
                storages.add(promise.storage());
            }
            pass(real, link, message);
            if (message instanceof Accepted accepted && accepted.granted()) {
                storages.forEach(
                        other -> pass(real, link, new Accepted(accepted.call(), other, true, accepted.promised())));
            }
        }
    }
}
