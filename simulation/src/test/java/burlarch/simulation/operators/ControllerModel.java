package burlarch.simulation.operators;

import burlarch.controller.error.ControlException;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChangeProposal;
import burlarch.controller.state.SystemState;
import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.Proposal;
import burlarch.coordination.register.proposal.ProposalOutput;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.transport.SimulatedEventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Simulated controller reduced to its register: the real acceptor, proposals and state changes over a disk with
 * simulated latency. Unlike the real controller it runs several proposals at once; the consistency rules must hold all
 * the same. All methods run on the event loop of the node.
 */
final class ControllerModel implements SimulatedNode {
    static final int OK = 200;
    static final int INVALID = 400;
    static final int CONFLICT = 412;
    static final int UNCLEAR = 503;
    static final String MODEL = "m";
    private static final long PROPOSAL_TIMEOUT_NANOS = 850 * Simulation.MILLISECOND;
    private static final int MAX_USUAL_SYNC_MILLIS = 8;
    private static final int MAX_SLOW_SYNC_MILLIS = 60;

    private final NodeContext context;
    private final ModelDisk disk;
    private final List<AcceptorMember> members;
    private final ControllerBehaviour behaviour;
    private final SimulatedEventLoop loop;
    private final Acceptor acceptor;
    private final Queue<Runnable> diskQueue = new ArrayDeque<>();
    private final Map<String, RunningProposal> proposals = new HashMap<>();
    private AcceptorTransition pendingTransition;
    private long proposalCount;

    /** A proposal and the action that receives its result. */
    private record RunningProposal(Proposal proposal, Consumer<ProposalResult> onFinished) {}

    ControllerModel(NodeContext context, ModelDisk disk, List<AcceptorMember> members, ControllerBehaviour behaviour) {
        this.context = context;
        this.disk = disk;
        this.members = members;
        this.behaviour = behaviour;
        loop = new SimulatedEventLoop(context);
        if (behaviour.erasesDiskOnRestart()) {
            disk.erase();
        }
        acceptor = new Acceptor(context.name(), disk.durable());
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ModelMessages.RegisterEnvelope envelope) {
            onRegister(from, envelope);
        } else if (message instanceof ModelMessages.Order order) {
            onOrder(from, order);
        } else if (message instanceof ModelMessages.NameWeights request) {
            onWeights(from, request);
        } else if (message instanceof ModelMessages.Read read) {
            onRead(from, read);
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }

    /** Simulates a power loss: a write in progress reaches the disk or is lost, at random. */
    @Override
    public void onKilled() {
        if (pendingTransition != null && context.random().nextBoolean()) {
            disk.write(pendingTransition.state());
        }
    }

    private void onOrder(String from, ModelMessages.Order request) {
        OperatorChange order = request.order();
        StateChangeProposal proposal = new StateChangeProposal(state -> behaviour.apply(order, state));
        String name = nextProposalName();
        RegisterChange change = current -> {
            ChangeDecision decision = proposal.decide(current);
            boolean rejects = decision instanceof ChangeDecision.Seal;
            if (rejects && behaviour.rejectsOnUncommitted() && proposals.remove(name) != null) {
                ChangeResult result = behaviour.apply(order, StateChangeProposal.stateOf(current));
                respond(
                        from,
                        request.call(),
                        ((ChangeResult.Unchanged) result).failure().kind().status());
            }
            return decision;
        };
        propose(name, change, result -> respond(from, request.call(), status(proposal, result)));
    }

    private int status(StateChangeProposal proposal, ProposalResult result) {
        if (result instanceof ProposalResult.Unknown) {
            return behaviour.statusOfUnknown();
        }
        try {
            proposal.outcome(result);
            return OK;
        } catch (ControlException failure) {
            return failure.kind().status();
        }
    }

    private void onWeights(String from, ModelMessages.NameWeights request) {
        StateChangeProposal proposal =
                new StateChangeProposal(state -> behaviour.setWeightsVersion(state, MODEL, request.version()));
        propose(nextProposalName(), proposal, result -> respond(from, request.call(), status(proposal, result)));
    }

    private void onRead(String from, ModelMessages.Read read) {
        if (behaviour.readsOwnDisk()) {
            respondToRead(
                    from,
                    read.call(),
                    StateChangeProposal.stateOf(disk.durable().value()));
            return;
        }
        String name = nextProposalName();
        propose(
                name,
                current -> {
                    if (behaviour.readsUncommitted() && proposals.remove(name) != null) {
                        respondToRead(from, read.call(), StateChangeProposal.stateOf(current));
                    }
                    return ChangeDecision.keep();
                },
                result -> {
                    if (result instanceof ProposalResult.Chosen chosen) {
                        respondToRead(from, read.call(), StateChangeProposal.stateOf(chosen.value()));
                    } else {
                        respond(from, read.call(), UNCLEAR);
                    }
                });
    }

    private void respond(String to, long call, int status) {
        context.send(to, new ModelMessages.Response(call, status, null, 0));
    }

    private void respondToRead(String to, long call, SystemState state) {
        context.send(
                to,
                new ModelMessages.Response(
                        call, OK, state.configuration(), state.weights().getOrDefault(MODEL, 0L)));
    }

    private String nextProposalName() {
        return context.name() + "/" + context.incarnation() + "/" + ++proposalCount;
    }

    private void propose(String name, RegisterChange change, Consumer<ProposalResult> onFinished) {
        RegisterView view = RegisterView.ofInitialAcceptors(members).newerOf(RegisterView.of(disk.durable()));
        Proposal proposal =
                new Proposal(name, 0, view, change, loop.nanoTime() + PROPOSAL_TIMEOUT_NANOS, context.random());
        proposals.put(name, new RunningProposal(proposal, onFinished));
        perform(name, proposal.start(loop.nanoTime()));
    }

    /** Performs the outputs of a proposal, unless a planted fault has abandoned it. */
    private void perform(String name, List<ProposalOutput> outputs) {
        if (!proposals.containsKey(name)) {
            return;
        }
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                context.send(send.member().address(), new ModelMessages.RegisterEnvelope(name, send.message()));
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                loop.schedule(Math.max(0, timer.atNanos() - loop.nanoTime()), () -> onProposalTimer(name));
            } else if (output instanceof ProposalOutput.Finished finished) {
                proposals.remove(name).onFinished().accept(finished.result());
            }
        }
    }

    private void onProposalTimer(String name) {
        RunningProposal running = proposals.get(name);
        if (running != null) {
            perform(name, running.proposal().onTimer(loop.nanoTime()));
        }
    }

    private void onRegister(String from, ModelMessages.RegisterEnvelope envelope) {
        RegisterMessage message = envelope.message();
        if (message instanceof RegisterMessage.PrepareRequest || message instanceof RegisterMessage.AcceptRequest) {
            diskQueue.add(() -> handleAcceptorRequest(
                    message,
                    response -> context.send(from, new ModelMessages.RegisterEnvelope(envelope.proposal(), response))));
            runNextDiskTask();
            return;
        }
        RunningProposal running = proposals.get(envelope.proposal());
        if (running != null) {
            perform(envelope.proposal(), running.proposal().onResponse(message, loop.nanoTime()));
        }
    }

    private void runNextDiskTask() {
        if (pendingTransition == null && !diskQueue.isEmpty()) {
            diskQueue.remove().run();
        }
    }

    private void handleAcceptorRequest(RegisterMessage message, Consumer<RegisterMessage> sendResponse) {
        AcceptorTransition transition = message instanceof RegisterMessage.PrepareRequest prepare
                ? acceptor.onPrepare(prepare)
                : acceptor.onAccept((RegisterMessage.AcceptRequest) message);
        if (!transition.changed()) {
            sendResponse.accept(transition.response());
            runNextDiskTask();
            return;
        }
        pendingTransition = transition;
        if (behaviour.respondsBeforeSync()) {
            sendResponse.accept(transition.response());
        }
        boolean slow = context.random().nextInt(8) == 0;
        int millis = context.random().nextInt(slow ? MAX_SLOW_SYNC_MILLIS : MAX_USUAL_SYNC_MILLIS);
        loop.schedule(millis * Simulation.MILLISECOND, () -> onSynced(transition, sendResponse));
    }

    private void onSynced(AcceptorTransition transition, Consumer<RegisterMessage> sendResponse) {
        disk.write(transition.state());
        acceptor.onPersisted(transition.state());
        pendingTransition = null;
        if (!behaviour.respondsBeforeSync()) {
            sendResponse.accept(transition.response());
        }
        runNextDiskTask();
    }
}
