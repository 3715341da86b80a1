package burlarch.coordination.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;

/** Acceptors that answer at once, and a proposal driven against them; some may be down. */
final class LocalRegister {
    static final long DEADLINE = 5_000_000_000L;

    final Map<String, Acceptor> acceptors = new LinkedHashMap<>();
    final Set<String> down = new HashSet<>();
    /** Payload and number of acceptors of each value sent out, in order, without repetition. */
    final List<String> written = new ArrayList<>();

    int accepts;
    private int names;

    static Member member(String storage) {
        return new Member(storage, "address-of-" + storage);
    }

    static List<Member> members(String... storages) {
        List<Member> members = new ArrayList<>();
        for (String storage : storages) {
            members.add(member(storage));
        }
        return members;
    }

    static RegisterValue value(List<Member> members, int content) {
        return new RegisterValue(members, new byte[] {(byte) content});
    }

    LocalRegister(String... storages) {
        for (String storage : storages) {
            acceptors.put(storage, new Acceptor(storage, AcceptorState.EMPTY));
        }
    }

    Proposal proposal(List<Member> first, RegisterChange change) {
        return proposal(Belief.firstStart(first), change);
    }

    Proposal proposal(Belief belief, RegisterChange change) {
        return new Proposal("p" + ++names, 0, belief, change, DEADLINE, new Random(names));
    }

    /** Drives a proposal to its end, through time as far as needed. */
    ProposalResult run(Proposal proposal) {
        return drive(proposal, proposal.start(0));
    }

    /** Drives on from outputs that were not carried out yet. */
    ProposalResult drive(Proposal proposal, List<Output> first) {
        Queue<Output> open = new ArrayDeque<>(first);
        List<Long> timers = new ArrayList<>();
        long now = 0;
        while (true) {
            if (open.isEmpty()) {
                now = timers.stream().min(Long::compare).orElseThrow();
                timers.remove(now);
                open.addAll(proposal.onTimer(now));
                continue;
            }
            Output output = open.remove();
            if (output instanceof Output.Done done) {
                return done.result();
            } else if (output instanceof Output.Timer timer) {
                timers.add(timer.at());
            } else if (output instanceof Output.Send send) {
                RegisterMessage reply = answer(send);
                if (reply != null) {
                    open.addAll(proposal.onMessage(reply, now));
                }
            }
        }
    }

    RegisterMessage answer(Output.Send send) {
        Acceptor acceptor = acceptors.get(send.member().storage());
        if (acceptor == null || down.contains(acceptor.storage())) {
            return null;
        }
        AcceptorStep step;
        if (send.message() instanceof RegisterMessage.Prepare prepare) {
            step = acceptor.onPrepare(prepare);
        } else {
            RegisterMessage.Accept accept = (RegisterMessage.Accept) send.message();
            accepts++;
            note(accept);
            step = acceptor.onAccept(accept);
        }
        acceptor.adopt(step.state());
        return step.reply();
    }

    private void note(RegisterMessage.Accept accept) {
        String line = accept.ballot().round() + "/" + accept.ballot().proposer() + ": "
                + accept.value().payload()[0] + " for "
                + accept.value().members().size();
        if (!written.contains(line)) {
            written.add(line);
        }
    }
}
