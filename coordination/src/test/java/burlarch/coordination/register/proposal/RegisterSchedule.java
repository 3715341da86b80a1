package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A short history of a register under an adversarial scheduler: each proposer reaches only a few acceptors, messages
 * may be delayed for any time, and about half of the changes name another acceptor set, often a very different one.
 */
final class RegisterSchedule {
    private static final int ACCEPTORS = 6;
    private static final int PROPOSERS = 4;
    private static final int STEPS = 600;
    private static final int ANY_BASE = -1;
    private static final int EVEN_BASE = -2;
    private static final long NO_DEADLINE_NANOS = Long.MAX_VALUE / 4;

    final ChosenValues chosen = new ChosenValues();
    int endedProposals;

    private final Random random;
    private final Map<String, Acceptor> acceptors = new LinkedHashMap<>();
    private final List<AcceptorMember> allMembers = new ArrayList<>();
    private final List<AcceptorMember> initialMembers;
    private final List<RegisterView> views = new ArrayList<>();
    private final List<Proposer> proposers = new ArrayList<>();
    private final Set<Integer> neverApplied = new HashSet<>();
    private History acknowledged = History.EMPTY;
    private final List<Change> abandonedChanges = new ArrayList<>();
    private int changes;
    private int proposals;

    /** A message in flight, to an acceptor or back from it. */
    private record PendingMessage(AcceptorMember acceptor, RegisterMessage message, boolean isResponse) {}

    /** A change with an optional new acceptor set, which applies to one base version, to even versions, or to any. */
    private record Change(int number, List<AcceptorMember> set, int base) implements RegisterChange {
        @Override
        public ChangeDecision decide(RegisterValue current) {
            History history = History.of(current);
            if (history.contains(number)) {
                return ChangeDecision.keep();
            }
            if (base == EVEN_BASE ? history.version() % 2 == 1 : base != ANY_BASE && history.version() != base) {
                return ChangeDecision.seal();
            }
            List<AcceptorMember> members = set == null && current != null ? current.members() : set;
            return new ChangeDecision.Write(
                    new RegisterValue(members, history.with(number).payload()));
        }
    }

    private static final class Proposer {
        final Proposal proposal;
        final Change change;
        final History before;
        final List<PendingMessage> pending = new ArrayList<>();
        final Set<String> reachableIds = new HashSet<>();
        long timer;
        ProposalResult result;

        Proposer(Proposal proposal, Change change, History before) {
            this.proposal = proposal;
            this.change = change;
            this.before = before;
        }
    }

    RegisterSchedule(long seed) {
        random = new Random(seed);
        for (int i = 0; i < ACCEPTORS; i++) {
            AcceptorMember member = new AcceptorMember("s" + i, "m" + i);
            allMembers.add(member);
            acceptors.put(member.storageId(), new Acceptor(member.storageId(), AcceptorState.EMPTY));
        }
        initialMembers = List.copyOf(allMembers.subList(0, 2 + random.nextInt(3)));
        views.add(RegisterView.ofInitialAcceptors(initialMembers));
    }

    void run() {
        for (int i = 0; i < STEPS; i++) {
            if (proposers.size() < PROPOSERS && random.nextInt(4) == 0) {
                startProposal();
            } else if (!proposers.isEmpty()) {
                stepProposer(proposers.get(random.nextInt(proposers.size())));
            }
        }
        chosen.assertContainsNone(neverApplied);
    }

    private void startProposal() {
        Change change = !abandonedChanges.isEmpty() && random.nextBoolean()
                ? abandonedChanges.remove(random.nextInt(abandonedChanges.size()))
                : new Change(++changes, random.nextBoolean() ? randomSet(1) : null, randomBase());
        RegisterView view = views.get(random.nextInt(views.size()));
        Proposal proposal = new Proposal("p" + ++proposals, random.nextInt(4), view, change, NO_DEADLINE_NANOS, random);
        Proposer proposer = new Proposer(proposal, change, acknowledged);
        proposers.add(proposer);
        chooseReachableAcceptors(proposer);
        perform(proposer, proposal.start(0));
    }

    private int randomBase() {
        int choice = random.nextInt(4);
        return choice == 0 ? acknowledged.version() : choice == 1 ? EVEN_BASE : ANY_BASE;
    }

    private void checkResult(ProposalResult.Chosen result, int number, History before) {
        endedProposals++;
        History history = History.of(result.value());
        assertThat(history.beginsWith(before))
                .as("%s after %s", history, before)
                .isTrue();
        if (history.version() > acknowledged.version()) {
            acknowledged = history;
        }
        if (result.value() != null) {
            views.add(
                    random.nextBoolean()
                            ? RegisterView.of(result.proposalNumber(), result.value())
                            : RegisterView.ofChosenAcceptors(
                                    result.proposalNumber(), result.value().members()));
            if (!history.contains(number)) {
                neverApplied.add(number);
            }
        }
    }

    private void stepProposer(Proposer proposer) {
        int choice = random.nextInt(400);
        if (choice < 16) {
            proposers.remove(proposer);
            abandonedChanges.add(proposer.change);
        } else if (choice < 24) {
            chooseReachableAcceptors(proposer);
        } else {
            deliver(proposer);
        }
        if (proposer.result != null) {
            proposers.remove(proposer);
            checkResult((ProposalResult.Chosen) proposer.result, proposer.change.number(), proposer.before);
        }
    }

    private void deliver(Proposer proposer) {
        List<PendingMessage> deliverable = proposer.pending.stream()
                .filter(message ->
                        proposer.reachableIds.contains(message.acceptor().storageId()))
                .toList();
        if (deliverable.isEmpty()) {
            fireTimerOrChooseReach(proposer);
            return;
        }
        PendingMessage message = deliverable.get(random.nextInt(deliverable.size()));
        if (random.nextInt(10) > 0) {
            proposer.pending.remove(message);
        }
        if (message.isResponse()) {
            perform(proposer, proposer.proposal.onResponse(message.message(), 0));
        } else {
            proposer.pending.add(new PendingMessage(message.acceptor(), respond(message), true));
        }
    }

    private void fireTimerOrChooseReach(Proposer proposer) {
        if (random.nextBoolean()) {
            chooseReachableAcceptors(proposer);
        } else {
            perform(proposer, proposer.proposal.onTimer(proposer.timer));
        }
    }

    private RegisterMessage respond(PendingMessage request) {
        Acceptor acceptor = acceptors.get(request.acceptor().storageId());
        AcceptorTransition transition = request.message() instanceof RegisterMessage.PrepareRequest prepare
                ? acceptor.onPrepare(prepare)
                : acceptor.onAccept((RegisterMessage.AcceptRequest) request.message());
        acceptor.onPersisted(transition.state());
        chosen.onDurable(acceptor.storageId(), transition.state());
        if (transition.state().value() != null && random.nextInt(20) == 0) {
            views.add(RegisterView.of(transition.state()));
        }
        return transition.response();
    }

    private void perform(Proposer proposer, List<ProposalOutput> outputs) {
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                proposer.pending.add(new PendingMessage(send.member(), send.message(), false));
            } else if (output instanceof ProposalOutput.SetTimer timer && timer.atNanos() < NO_DEADLINE_NANOS) {
                proposer.timer = timer.atNanos();
            } else if (output instanceof ProposalOutput.Finished finished) {
                proposer.result = finished.result();
            }
        }
    }

    private void chooseReachableAcceptors(Proposer proposer) {
        proposer.reachableIds.clear();
        randomSet(2).forEach(member -> proposer.reachableIds.add(member.storageId()));
    }

    private List<AcceptorMember> randomSet(int minSize) {
        List<AcceptorMember> shuffled = new ArrayList<>(allMembers);
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, minSize + random.nextInt(4)));
    }
}
