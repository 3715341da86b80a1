package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterMessage.AcceptRequest;
import burlarch.coordination.register.RegisterMessage.AcceptResponse;
import burlarch.coordination.register.RegisterMessage.PrepareRequest;
import burlarch.coordination.register.RegisterMessage.PrepareResponse;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.proposal.ProposalState.Event;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A proposer of one change of the register, which drives it through both phases of the protocol, prepare and accept.
 *
 * <p>The register has no log and no leader. Each attempt of a proposal has a new {@link ProposalNumber}: it reads the
 * newest value at a quorum of acceptors (prepare) and writes the next value there (accept). A proposal makes a
 * further attempt after a conflict with another proposer, and after each intermediate write of a change of the
 * acceptor set.
 *
 * <p><b>States.</b> See the table at {@link ProposalState}. {@link WritePlanner} decides what is written,
 * {@link MessageExchange} sends and resends requests, {@link PrepareTally} and {@link AcceptTally} count responses.
 *
 * <p><b>Invariants.</b> C(v) is the {@link burlarch.coordination.register.acceptorset.AcceptorSet} that value v
 * names. A value is newer than another one when it was written under a higher proposal number.
 *
 * <ol>
 *   <li><b>PrepareQuorum.</b> An attempt that writes on top of a value w holds granted prepare responses from a
 *       quorum of C(w), and none of these acceptors has accepted a value newer than w. An attempt that reads a newer
 *       value with another set goes on with that set.
 *   <li><b>ChosenByQuorum.</b> A value v is chosen once a quorum of C(v) has accepted it under one proposal number.
 *   <li><b>SetSuccession.</b> A value names the same set as the value that it is written on, with two exceptions: on
 *       a value with a simple set M, a joint set (M, N) may be written; on a value with a joint set (M, N), the
 *       simple set N. For the second exception the value below must be known to be chosen; when it is not, the
 *       attempt first writes it again unchanged.
 *   <li><b>JoinersHoldBase.</b> A joint set is written only after granted prepare responses from a quorum of it and
 *       from all acceptors that join, each of which holds the very value that the joint set is written on. When a
 *       joining acceptor does not hold that value, the attempt first writes the value again, to the joining acceptors
 *       too ({@link WritePlan.CopyToJoiners}); their responses to that write count for this invariant alone. An
 *       acceptor that cannot write, or does not respond, therefore changes nothing: no other acceptor leaves the set
 *       for it.
 *   <li><b>DiskIdentity.</b> Responses count by the identity of the disk, and only those of acceptors in the set. A
 *       disk that comes back empty has a new identity, so nothing depends on what it has forgotten.
 *   <li><b>SingleFounding.</b> The first value names the initial acceptors, which are the same for every proposer
 *       that knows any. It is written only by a proposer that knows of no value
 *       ({@link RegisterView#mayWriteFirstValue}). A proposer that knows a value, chosen or not, from its own disk or
 *       from a message, begins with that value in place of none ({@link PrepareTally}), and so sends its requests to
 *       the acceptors that it names. A proposer that knows only the acceptors of a chosen value begins with these,
 *       and waits for a prepare response that carries a value.
 *   <li><b>UniqueNumber.</b> A proposal number belongs to one attempt of one proposal: a proposal raises the term
 *       with each attempt, and no two proposals have the same name, not even after a restart.
 * </ol>
 *
 * <p><b>SingleChain.</b> Theorem: if a value is chosen under number b, each write under a number c above b is on top
 * of a value of number b or above. So all chosen values form one chain.
 *
 * <p>Proof. Suppose it is false, and let c be the lowest number that breaks it, writing on a value of number a below
 * b. Let d be the highest chosen number that is not above a (or none), and take for b the lowest chosen number above
 * a.
 *
 * <ol>
 *   <li>By the choice of c, all writes in the span (d, b] go back to d through writes in that span. Of the values
 *       that these are written on, none but that of d is chosen. So by SetSuccession a joint set is replaced by its
 *       new simple set, within that span, only directly on top of d.
 *   <li>When d has a simple set M, all sets of the span are therefore M or (M, any). When d has a joint set (M, N),
 *       all are (M, N), N or (N, any). So all their quorums, those of a and b included, hold a majority of one common
 *       list: M or N. When there is no d, the common list is that of the initial acceptors, by SingleFounding.
 *   <li>Two majorities of one list share an acceptor (DiskIdentity: it has forgotten nothing). So some acceptor is
 *       both in the quorum of C(a) that was prepared for c and in the quorum that chose b.
 *   <li>If that acceptor accepted b before it granted c, it reported b or a newer value to c; by PrepareQuorum c was
 *       then not written on a. If it was asked to accept b after it granted c, it rejected b, as b is below c; it is
 *       then not in the quorum that chose b. Both contradict the supposition.
 * </ol>
 *
 * <p>Of a value that is not newer than the one that an attempt began with, the proof uses the number alone: step 4
 * needs that an acceptor reports b or a newer value to an attempt that would write on an older one. So acceptors need
 * not send values up to the number that the prepare request names ({@link PrepareRequest#known}).
 *
 * <p>The proof does not depend on how many acceptors change at once, on who is known to be lost, or on how old a
 * proposer's view is. Changing sets one at a time keeps the quorums small.
 *
 * <p><b>What a result means.</b> A value that some acceptor has accepted and that is not chosen may be found and
 * completed by any later attempt, until a value is chosen under a higher number. A change that is rejected may
 * therefore have to be sealed first, see {@link ChangeDecision.Seal}. A proposal that has sent its own change always
 * seals.
 *
 * <p>Times are nanoseconds of the driver's clock; randomness is passed in. Every call returns the outputs that it
 * caused, in order. Not thread-safe.
 */
public final class Proposal {
    private final String name;
    private final long deadlineNanos;
    private final ConflictBackoff backoff;
    private final WritePlanner planner;
    private final MessageExchange exchange;
    private final List<ProposalOutput> outputs = new ArrayList<>();

    private ProposalState state = ProposalState.NEW;
    private RegisterView view;
    private long highestTerm;
    private long wakeAtNanos;

    /** Number and prepare responses of the present attempt. */
    private ProposalNumber number;

    private PrepareTally prepares;

    /** The present write and its responses, while accepts are awaited. */
    private WritePlan.Write write;

    private AcceptTally accepts;

    /**
     * Creates a proposal of one change. Nothing is sent before {@link #start}.
     *
     * @param name unique name of this proposal, never used before, not even before a restart
     * @param termHint the highest known term; too low a value only costs conflicts
     * @param view what is known of the register; it may be out of date
     * @param change the change to make
     * @param deadlineNanos when the proposal ends if no result is known by then, on the driver's clock
     * @param random for the first call id and the delays after conflicts
     */
    public Proposal(
            String name,
            long termHint,
            RegisterView view,
            RegisterChange change,
            long deadlineNanos,
            RandomGenerator random) {
        this.name = name;
        this.highestTerm = Math.max(termHint, view.proposalNumber().term());
        this.view = view;
        this.deadlineNanos = deadlineNanos;
        planner = new WritePlanner(change);
        backoff = new ConflictBackoff(random);
        long lastCallId = random.nextLong() >>> 1;
        exchange = new MessageExchange(lastCallId, outputs::add);
    }

    /** Starts the proposal. Call it once. */
    public List<ProposalOutput> start(long nowNanos) {
        outputs.add(new ProposalOutput.SetTimer(deadlineNanos));
        prepare(Event.STARTED, nowNanos);
        return takeOutputs();
    }

    /** Handles a response of an acceptor. Late and duplicate responses, and those to other requests, have no effect. */
    public List<ProposalOutput> onResponse(RegisterMessage message, long nowNanos) {
        if (isActive(nowNanos)) {
            if (message instanceof PrepareResponse response) {
                onPrepareResponse(response, nowNanos);
            } else if (message instanceof AcceptResponse response) {
                onAcceptResponse(response, nowNanos);
            }
        }
        return takeOutputs();
    }

    /**
     * Handles a timer. Call it at the times of {@link ProposalOutput.SetTimer}; calls at other times have no effect.
     */
    public List<ProposalOutput> onTimer(long nowNanos) {
        if (isActive(nowNanos) && nowNanos - wakeAtNanos >= 0) {
            if (state.isBackingOff()) {
                prepare(Event.BACKOFF_ELAPSED, nowNanos);
            } else {
                exchange.resend(this::hasResponded);
                wakeAt(nowNanos + exchange.resendIntervalNanos());
            }
        }
        return takeOutputs();
    }

    /**
     * Handles the notice that an acceptor may be reachable again: resends the unanswered requests at once instead of
     * at the next resend. Duplicate requests have no further effect.
     */
    public List<ProposalOutput> onAcceptorReachable(long nowNanos) {
        if (isActive(nowNanos) && !state.isBackingOff()) {
            exchange.resendWithFirstInterval(this::hasResponded);
            wakeAt(nowNanos + exchange.resendIntervalNanos());
        }
        return takeOutputs();
    }

    /** Returns the highest term seen so far, as a hint for the next proposal. */
    public long highestTerm() {
        return highestTerm;
    }

    /** Returns whether the proposal is started and not finished. Finishes it when the deadline has passed. */
    private boolean isActive(long nowNanos) {
        if (state == ProposalState.NEW || state == ProposalState.FINISHED) {
            return false;
        }
        if (nowNanos - deadlineNanos >= 0) {
            finish(planner.resultAtDeadline());
            return false;
        }
        return true;
    }

    /** Begins a new attempt. */
    private void prepare(Event cause, long nowNanos) {
        state = state.after(cause);
        number = new ProposalNumber(++highestTerm, name);
        prepares = new PrepareTally(view);
        ProposalNumber known = prepares.newestValue() == null ? null : prepares.newestNumber();
        exchange.begin(
                callId -> new PrepareRequest(callId, number, known),
                prepares.acceptors().votingMembers());
        wakeAt(nowNanos + exchange.resendIntervalNanos());
    }

    private void onPrepareResponse(PrepareResponse response, long nowNanos) {
        recordTerm(response.prepared());
        if (!state.awaitsPrepares() || !exchange.expectsResponse(response.callId(), response.storageId())) {
            return;
        }
        if (!response.granted()) {
            onRejected(nowNanos);
        } else if (response.prepared().equals(number)) {
            prepares.add(response);
            exchange.sendToNew(prepares.acceptors().votingMembers());
            if (prepares.isComplete()) {
                onPrepared(nowNanos);
            }
        }
    }

    /**
     * Continues once a quorum is prepared. This may happen several times in an attempt: the acceptors of a new set
     * have to be prepared too before a write.
     */
    private void onPrepared(long nowNanos) {
        if (prepares.newestValue() != null) {
            view = RegisterView.of(prepares.newestNumber(), prepares.newestValue());
        }
        WritePlan plan = planner.plan(prepares, view.members());
        if (plan instanceof WritePlan.Report report) {
            finish(new ProposalResult.Chosen(prepares.newestNumber(), prepares.newestValue(), report.decision()));
        } else if (plan instanceof WritePlan.AwaitPrepares await) {
            exchange.sendToNew(await.acceptors().votingMembers());
        } else if (plan instanceof WritePlan.Write next) {
            accept(next, nowNanos);
        }
    }

    private void accept(WritePlan.Write next, long nowNanos) {
        state = state.after(Event.WRITE_READY);
        write = next;
        accepts = new AcceptTally(next);
        planner.onSent(next);
        exchange.begin(
                callId -> new AcceptRequest(callId, number, next.value()),
                next.acceptors().votingMembers());
        wakeAt(nowNanos + exchange.resendIntervalNanos());
        exchange.sendToNew(next.joiners());
    }

    private void onAcceptResponse(AcceptResponse response, long nowNanos) {
        recordTerm(response.prepared());
        if (!state.awaitsAccepts() || !exchange.expectsResponse(response.callId(), response.storageId())) {
            return;
        }
        if (!response.granted()) {
            onRejected(nowNanos);
        } else if (response.prepared().equals(number)) {
            accepts.add(response.storageId());
            if (accepts.isComplete()) {
                onChosen(nowNanos);
            }
        }
    }

    private void onChosen(long nowNanos) {
        if (write instanceof WritePlan.FinalWrite last) {
            finish(new ProposalResult.Chosen(number, last.value(), last.decision()));
            return;
        }
        planner.onStepChosen(write, number);
        view = RegisterView.of(number, write.value());
        prepare(Event.STEP_CHOSEN, nowNanos);
    }

    /**
     * Handles a rejection. The attempt may still succeed with the other acceptors; if it does not within the backoff,
     * a new attempt follows.
     */
    private void onRejected(long nowNanos) {
        if (!state.isBackingOff()) {
            state = state.after(Event.REJECTED);
            wakeAt(nowNanos + backoff.nextNanos());
        }
    }

    private void finish(ProposalResult result) {
        state = state.after(Event.ENDED);
        outputs.add(new ProposalOutput.Finished(result));
    }

    private boolean hasResponded(String storageId) {
        return state.awaitsPrepares() ? prepares.hasResponseOf(storageId) : accepts.hasResponseOf(storageId);
    }

    private void recordTerm(ProposalNumber seen) {
        highestTerm = Math.max(highestTerm, seen.term());
    }

    private void wakeAt(long atNanos) {
        wakeAtNanos = atNanos;
        outputs.add(new ProposalOutput.SetTimer(atNanos));
    }

    private List<ProposalOutput> takeOutputs() {
        List<ProposalOutput> result = List.copyOf(outputs);
        outputs.clear();
        return result;
    }
}
