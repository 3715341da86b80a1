package burlarch.coordination.register.proposal;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;

/** A register whose acceptors respond at once, with a driver for proposals; some acceptors may be down. */
final class LocalRegister {
    static final long DEADLINE_NANOS = 5_000_000_000L;

    final Map<String, Acceptor> acceptors = new LinkedHashMap<>();
    final Set<String> down = new HashSet<>();
    /**
     * Proposal number, payload and number of acceptors of each value sent to an acceptor, in order, without
     * duplicates.
     */
    final List<String> written = new ArrayList<>();

    int acceptRequests;
    private int proposals;

    static RegisterValue value(List<AcceptorMember> members, int payloadByte) {
        return new RegisterValue(members, new byte[] {(byte) payloadByte});
    }

    LocalRegister(String... storageIds) {
        for (String storageId : storageIds) {
            acceptors.put(storageId, new Acceptor(storageId, AcceptorState.EMPTY));
        }
    }

    Proposal proposal(List<AcceptorMember> first, RegisterChange change) {
        return proposal(RegisterView.ofInitialAcceptors(first), change);
    }

    Proposal proposal(RegisterView view, RegisterChange change) {
        return new Proposal("p" + ++proposals, 0, view, change, DEADLINE_NANOS, new Random(proposals));
    }

    /** Drives a proposal to its end and advances the time as far as needed. */
    ProposalResult run(Proposal proposal) {
        return drive(proposal, proposal.start(0));
    }

    /** Drives a proposal to its end from outputs that were not performed yet. */
    ProposalResult drive(Proposal proposal, List<ProposalOutput> first) {
        Queue<ProposalOutput> pendingOutputs = new ArrayDeque<>(first);
        List<Long> timers = new ArrayList<>();
        long nowNanos = 0;
        while (true) {
            if (pendingOutputs.isEmpty()) {
                nowNanos = timers.stream().min(Long::compare).orElseThrow();
                timers.remove(nowNanos);
                pendingOutputs.addAll(proposal.onTimer(nowNanos));
                continue;
            }
            ProposalOutput output = pendingOutputs.remove();
            if (output instanceof ProposalOutput.Finished finished) {
                return finished.result();
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                timers.add(timer.atNanos());
            } else if (output instanceof ProposalOutput.Send send) {
                RegisterMessage response = respond(send);
                if (response != null) {
                    pendingOutputs.addAll(proposal.onResponse(response, nowNanos));
                }
            }
        }
    }

    RegisterMessage respond(ProposalOutput.Send send) {
        Acceptor acceptor = acceptors.get(send.member().storageId());
        if (acceptor == null || down.contains(acceptor.storageId())) {
            return null;
        }
        AcceptorTransition transition;
        if (send.message() instanceof RegisterMessage.PrepareRequest prepare) {
            transition = acceptor.onPrepare(prepare);
        } else {
            RegisterMessage.AcceptRequest accept = (RegisterMessage.AcceptRequest) send.message();
            acceptRequests++;
            recordWrite(accept);
            transition = acceptor.onAccept(accept);
        }
        acceptor.onPersisted(transition.state());
        return transition.response();
    }

    private void recordWrite(RegisterMessage.AcceptRequest accept) {
        String line =
                accept.proposalNumber().term() + "/" + accept.proposalNumber().proposer() + ": "
                        + accept.value().payload()[0] + " for "
                        + accept.value().members().size();
        if (!written.contains(line)) {
            written.add(line);
        }
    }
}
