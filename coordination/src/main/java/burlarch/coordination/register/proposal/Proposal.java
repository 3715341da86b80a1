package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One change of the register, driven through both phases by whoever wants it. No log and no leader: each
 * ballot reads the newest value at a quorum and writes the next one there.
 *
 * <p><b>Rules.</b> C(v) is the {@link AcceptorSet} that value v names.
 * <ol>
 * <li>A ballot that writes on top of a value w has promises from a quorum of C(w), and none of those
 *     acceptors has accepted anything newer than w. A proposal that meets a value with another set goes on
 *     with that one.
 * <li>A value v is chosen once a quorum of C(v) has accepted it at one ballot.
 * <li>A value names the set of the value that it is written on, with two exceptions: on a settled set M, a
 *     changing set (M, N); on a changing set (M, N), the settled N. For the latter, the value below has to be
 *     known as chosen; where it isn't, it is written again unchanged first.
 * <li>A changing set is written only after promises from a quorum of it, and from all that join, each of
 *     which holds the very value that it is written on. Where one doesn't, that value is first written again,
 *     to these too ({@link WritePlan.Step#COPY}): their answers count for nothing but this rule. So an
 *     acceptor that can't write, or doesn't answer, changes nothing: no other leaves for it.
 * <li>Replies count by the identity of the disk, and only those of acceptors in the set. A disk that comes
 *     back empty has a new identity: what it forgot is never counted on.
 * <li>The first value names the acceptors of the first start, which are the same for all who know any. It is
 *     written only by a proposer that knows of no value: see {@link RegisterView#mayWriteFirstValue}. One that knows a value,
 *     chosen or not, from its own disk or from a message, begins with that value in place of none ({@link
 *     PrepareTally}), and so asks the acceptors that it names. One that knows only the acceptors of a chosen
 *     value begins with these, and waits for a promise that carries a value.
 * <li>A ballot belongs to one proposal: no two proposals have one name, also after a restart.
 * </ol>
 *
 * <p><b>Why one chain.</b> Claim: if b is chosen, every write at a ballot c above b is on a value of ballot b
 * or above. Suppose c is the lowest that breaks this, writing on a below b. Let d be the last chosen ballot
 * not above a (or none), and take for b the first chosen one above a. By the choice of c, all writes in (d,
 * b] go back to d through writes in that span, and none but d is chosen among those that they are written on,
 * so by rule 3 a change is settled in that span only directly on top of d. Where d has a settled set M, all
 * sets of the span are M or (M, any); where it has (M, N), all are (M, N), N or (N, any). So all their
 * quorums, those of a and b included, hold a majority of one common list (M, or N), and an acceptor is in
 * both the promises of c, given by a quorum of C(a), and the quorum that chose b. It accepted b before its
 * promise, and so reported b or above, against rule 1, or was asked to after it, and refused. With the first
 * value, the common list is that of rule 6. Nothing in this hangs on how many acceptors change at once, on
 * who is known to be dead, or on how old a belief is; one change at a time keeps the quorums small.
 *
 * <p><b>What an end means.</b> A value that was accepted somewhere but not chosen may be found and completed
 * by any later ballot, until a higher one is chosen. So a change that is refused may have to be sealed, see
 * {@link ChangeDecision.Keep}; this proposal seals by itself once it has sent its own write.
 *
 * <p>Pure: time comes in nanoseconds, randomness from the outside. Not safe for use by several threads.
 */
public final class Proposal {
    private static final long FIRST_RESEND_NANOS = 400_000_000L;
    private static final long LONGEST_RESEND_NANOS = 1_600_000_000L;

    private enum Phase {
        IDLE,
        PREPARING,
        ACCEPTING,
        DONE
    }

    private final String name;
    private final RegisterChange change;
    private final long deadline;
    private final ConflictBackoff backoff;
    private final List<ProposalOutput> outputs = new ArrayList<>();
    private final Map<String, AcceptorMember> contacted = new LinkedHashMap<>();
    private final Set<String> acceptedBy = new HashSet<>();

    private Phase phase = Phase.IDLE;
    private RegisterView belief;
    private long round;
    private long call;
    private ProposalNumber ballot;
    private PrepareTally promises;
    private WritePlan plan;
    private RegisterMessage request;
    private ProposalNumber chosenBallot = ProposalNumber.ZERO;
    private ChangeDecision setChange;
    private List<AcceptorMember> joining = List.of();
    private boolean changeSent;
    private boolean refused;
    private long wakeAt;
    private long resendNanos;

    /**
     * Prepares one change.
     *
     * @param name of this proposal alone, never used before, also not before a restart
     * @param roundHint the highest round known of; only saves conflicts
     * @param belief what is known of the register, however old
     * @param deadline when to give up, on the clock of {@code now}
     */
    public Proposal(
            String name,
            long roundHint,
            RegisterView belief,
            RegisterChange change,
            long deadline,
            RandomGenerator random) {
        this.name = name;
        this.round = Math.max(roundHint, belief.proposalNumber().term());
        this.belief = belief;
        this.change = change;
        this.deadline = deadline;
        this.backoff = new ConflictBackoff(random);
        this.call = random.nextLong() >>> 1;
    }

    /** Begins; to be called once. */
    public List<ProposalOutput> start(long now) {
        outputs.add(new ProposalOutput.SetTimer(deadline));
        prepare(now);
        return take();
    }

    /** Takes a reply; those to other proposals, late and repeated ones do no harm. */
    public List<ProposalOutput> onResponse(RegisterMessage message, long now) {
        if (phase == Phase.IDLE || expires(now)) {
            return take();
        }
        if (message instanceof RegisterMessage.PrepareResponse promise) {
            onPromise(promise, now);
        } else if (message instanceof RegisterMessage.AcceptResponse accepted) {
            onAccepted(accepted, now);
        }
        return take();
    }

    /** To be called at the times asked for; calls at other times do no harm. */
    public List<ProposalOutput> onTimer(long now) {
        if (phase == Phase.IDLE || expires(now) || now - wakeAt < 0) {
            return take();
        }
        if (refused) {
            prepare(now);
        } else {
            resend(now);
        }
        return take();
    }

    /**
     * An acceptor that was out of reach may be reached again: those that have not answered yet are asked at
     * once instead of at the next turn. Repeated messages do no harm.
     */
    public List<ProposalOutput> onAcceptorReachable(long now) {
        boolean asking = phase == Phase.PREPARING || phase == Phase.ACCEPTING;
        if (asking && !expires(now) && !refused) {
            resendNanos = FIRST_RESEND_NANOS / 2;
            resend(now);
        }
        return take();
    }

    /** The highest round met: a hint for the next proposal. */
    public long highestTerm() {
        return round;
    }

    private void prepare(long now) {
        phase = Phase.PREPARING;
        ballot = new ProposalNumber(++round, name);
        promises = new PrepareTally(belief);
        begin(new RegisterMessage.PrepareRequest(++call, ballot), promises.set(), now);
    }

    private void accept(WritePlan next, long now) {
        phase = Phase.ACCEPTING;
        plan = next;
        changeSent |= next.carriesChange();
        acceptedBy.clear();
        begin(new RegisterMessage.AcceptRequest(++call, ballot, next.value()), writtenSet(), now);
    }

    private void begin(RegisterMessage message, AcceptorSet set, long now) {
        request = message;
        refused = false;
        contacted.clear();
        contact(set.votingMembers());
        resendNanos = FIRST_RESEND_NANOS;
        wake(now + resendNanos);
    }

    private void contact(List<AcceptorMember> members) {
        for (AcceptorMember member : members) {
            if (contacted.putIfAbsent(member.storageId(), member) == null) {
                outputs.add(new ProposalOutput.Send(member, request));
            }
        }
    }

    private void resend(long now) {
        for (AcceptorMember member : contacted.values()) {
            boolean answered = phase == Phase.PREPARING
                    ? promises.answered(member.storageId())
                    : acceptedBy.contains(member.storageId());
            if (!answered) {
                outputs.add(new ProposalOutput.Send(member, request));
            }
        }
        resendNanos = Math.min(2 * resendNanos, LONGEST_RESEND_NANOS);
        wake(now + resendNanos);
    }

    private void onPromise(RegisterMessage.PrepareResponse promise, long now) {
        round = Math.max(round, promise.prepared().term());
        if (phase != Phase.PREPARING || !isExpected(promise.callId(), promise.storageId())) {
            return;
        }
        if (!promise.granted()) {
            onRefusal(now);
        } else if (promise.prepared().equals(ballot)) {
            promises.grant(promise);
            contact(promises.set().votingMembers());
            if (promises.isComplete()) {
                onQuorumPromised(now);
            }
        }
    }

    /** May come several times in a ballot: a new set has to promise too before it is written. */
    private void onQuorumPromised(long now) {
        if (promises.value() != null) {
            belief = RegisterView.of(promises.highest(), promises.value());
        }
        WritePlan next = plan();
        if (next.step() == WritePlan.Step.REPORT) {
            finish(new ProposalResult.Chosen(promises.highest(), promises.value(), next.decision()));
        } else if (next.step() == WritePlan.Step.CHANGE_SET) {
            changeSet(next, now);
        } else if (promises.cover(AcceptorSet.of(next.value().members()))) {
            accept(next, now);
        } else {
            contact(AcceptorSet.of(next.value().members()).votingMembers());
        }
    }

    /** Rule 4: those that join have to hold the value that the change is written on. */
    private void changeSet(WritePlan next, long now) {
        AcceptorSet changing = AcceptorSet.of(next.value().members());
        joining = promises.set().joining(changing.newMembers());
        if (!promises.answeredAll(joining) || !promises.cover(changing)) {
            contact(changing.votingMembers());
        } else if (promises.heldByAll(joining)) {
            accept(next, now);
        } else {
            accept(WritePlan.copying(promises.value()), now);
            contact(joining);
        }
    }

    private WritePlan plan() {
        RegisterValue current = promises.value();
        if (current == null) {
            return WritePlan.onEmpty(belief.members(), change);
        }
        boolean ownChosen = promises.highest().equals(chosenBallot);
        if (ownChosen && setChange != null) {
            return WritePlan.settling(current, setChange);
        }
        setChange = null;
        return WritePlan.on(current, ownChosen || promises.isConfirmed(), !changeSent, change);
    }

    private void onAccepted(RegisterMessage.AcceptResponse accepted, long now) {
        round = Math.max(round, accepted.prepared().term());
        if (phase != Phase.ACCEPTING || !isExpected(accepted.callId(), accepted.storageId())) {
            return;
        }
        if (!accepted.granted()) {
            onRefusal(now);
        } else if (accepted.prepared().equals(ballot)) {
            acceptedBy.add(accepted.storageId());
            if (writtenSet().hasQuorum(acceptedBy) && isCopied()) {
                onChosen(now);
            }
        }
    }

    private boolean isCopied() {
        return plan.step() != WritePlan.Step.COPY
                || joining.stream().allMatch(member -> acceptedBy.contains(member.storageId()));
    }

    private boolean isExpected(long answeredCall, String storage) {
        return answeredCall == call && contacted.containsKey(storage);
    }

    private void onChosen(long now) {
        if (plan.step() == WritePlan.Step.FINISH) {
            finish(new ProposalResult.Chosen(ballot, plan.value(), plan.decision()));
            return;
        }
        chosenBallot = ballot;
        setChange = plan.step() == WritePlan.Step.CHANGE_SET ? plan.decision() : null;
        belief = RegisterView.of(ballot, plan.value());
        prepare(now);
    }

    /** The ballot may yet get its quorum from others; if it doesn't within a pause, a higher one follows. */
    private void onRefusal(long now) {
        if (!refused) {
            refused = true;
            wake(now + backoff.next());
        }
    }

    private boolean expires(long now) {
        if (phase != Phase.DONE && now - deadline >= 0) {
            finish(changeSent ? new ProposalResult.Unknown() : new ProposalResult.NotStarted());
        }
        return phase == Phase.DONE;
    }

    private void finish(ProposalResult result) {
        phase = Phase.DONE;
        outputs.add(new ProposalOutput.Finished(result));
    }

    private AcceptorSet writtenSet() {
        return AcceptorSet.of(plan.value().members());
    }

    private void wake(long at) {
        wakeAt = at;
        outputs.add(new ProposalOutput.SetTimer(at));
    }

    private List<ProposalOutput> take() {
        List<ProposalOutput> taken = List.copyOf(outputs);
        outputs.clear();
        return taken;
    }
}
