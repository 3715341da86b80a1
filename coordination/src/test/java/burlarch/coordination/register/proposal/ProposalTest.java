package burlarch.coordination.register.proposal;

import static burlarch.coordination.register.acceptorset.TestMembers.member;
import static burlarch.coordination.register.acceptorset.TestMembers.members;
import static burlarch.coordination.register.proposal.LocalRegister.DEADLINE_NANOS;
import static burlarch.coordination.register.proposal.LocalRegister.value;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ProposalTest {
    private static final List<AcceptorMember> INITIAL_MEMBERS = members("a", "b", "c");
    private static final RegisterChange READ = current -> ChangeDecision.keep();
    private static final RegisterChange ADD_ACCEPTOR_D =
            current -> new ChangeDecision.Write(new RegisterValue(members("a", "b", "c", "d"), new byte[] {2}));
    private static final RegisterChange SEAL = current -> ChangeDecision.seal();

    private final LocalRegister register = new LocalRegister("a", "b", "c", "d", "e");

    @Test
    void firstValueNamesTheInitialAcceptorsAndIsReadBack() {
        RegisterChange first = current -> {
            assertThat(current).isNull();
            return write(value(List.of(), 1));
        };
        assertThat(chosen(first).value().members()).isEqualTo(INITIAL_MEMBERS);

        ProposalResult.Chosen read = chosen(READ);
        assertThat(read.value().payload()).containsExactly(1);
        assertThat(register.acceptRequests)
                .as("a read of a chosen value writes nothing")
                .isEqualTo(3);
    }

    @Test
    void readOfAnEmptyRegisterReturnsNoValue() {
        assertThat(chosen(READ).value()).isNull();
    }

    @Test
    void sealWritesAChosenValueAgainUnderAHigherNumber() {
        chosen(writing(1));
        int before = register.acceptRequests;
        ProposalNumber written = register.acceptors.get("a").state().accepted();

        assertThat(chosen(SEAL).proposalNumber()).isGreaterThan(written);
        assertThat(register.acceptRequests).isGreaterThan(before);
    }

    @Test
    void unfinishedWriteBeforeASealIsNeverRead() {
        chosen(writing(1));
        leaveUnfinishedWriteAt("a", 2);
        register.down.add("a");
        chosen(SEAL);
        register.down.clear();
        register.down.add("b");
        assertThat(chosen(READ).value().payload()).containsExactly(1);
    }

    @Test
    void writeSucceedsWhileAMinorityIsDown() {
        register.down.add("c");
        assertThat(chosen(writing(1)).value().payload()).containsExactly(1);
    }

    @Test
    void resultIsNotStartedWithoutAQuorumOfPrepareResponses() {
        register.down.addAll(List.of("b", "c"));
        assertThat(run(writing(1))).isEqualTo(new ProposalResult.NotStarted());
    }

    @Test
    void resultIsUnknownAtTheDeadlineOnceTheWriteWasSent() {
        Proposal proposal = register.proposal(INITIAL_MEMBERS, writing(1));
        List<ProposalOutput> acceptOutputs = untilPrepared(proposal);
        register.down.addAll(List.of("a", "b", "c"));
        assertThat(register.drive(proposal, acceptOutputs)).isEqualTo(new ProposalResult.Unknown());
    }

    @Test
    void writeWithoutAQuorumIsCompletedByTheNextProposal() {
        leaveUnfinishedWriteAt("a", 1);
        register.down.add("b");

        List<RegisterValue> seen = new ArrayList<>();
        ProposalResult.Chosen result = chosen(current -> {
            seen.add(current);
            return ChangeDecision.keep();
        });
        assertThat(seen.get(0).payload()).containsExactly(1);
        assertThat(result.value().payload()).containsExactly(1);
        assertThat(register.acceptors.get("c").state().value().payload()).containsExactly(1);
    }

    @Test
    void ownWriteFoundAfterAConflictIsSealed() {
        Proposal proposal = register.proposal(INITIAL_MEMBERS, writeOneIfEmpty());
        List<ProposalOutput> acceptOutputs = untilPrepared(proposal);
        List<ProposalOutput> remainingOutputs = new ArrayList<>();
        for (ProposalOutput output : acceptOutputs) {
            if (output instanceof ProposalOutput.Send send
                    && send.member().storageId().equals("a")) {
                remainingOutputs.addAll(proposal.onResponse(register.respond(send), 0));
            } else if (!(output instanceof ProposalOutput.Send)) {
                remainingOutputs.add(output);
            }
        }
        chosen(READ);
        ProposalResult.Chosen result = (ProposalResult.Chosen) register.drive(proposal, remainingOutputs);
        assertThat(result.value().payload()).containsExactly(1);
        assertThat(result.decision()).isEqualTo(ChangeDecision.keep());
        assertThat(result.proposalNumber().proposer())
                .as("written again by the same proposal")
                .isEqualTo("p1");
    }

    @Test
    void proposalSucceedsAboveAHigherPreparedNumberWhileAnotherAcceptorIsDown() {
        Acceptor acceptor = register.acceptors.get("a");
        acceptor.onPersisted(
                acceptor.onPrepare(new RegisterMessage.PrepareRequest(1, new ProposalNumber(50, "z"), null))
                        .state());
        register.down.add("c");
        ProposalResult.Chosen result = chosen(writing(1));
        assertThat(result.proposalNumber().term()).isGreaterThanOrEqualTo(50);
    }

    @Test
    void responsesWithUnknownStorageIdentitiesDoNotCount() {
        Proposal proposal = register.proposal(INITIAL_MEMBERS, writing(1));
        RegisterMessage.PrepareRequest prepare = null;
        for (ProposalOutput output : proposal.start(0)) {
            if (output instanceof ProposalOutput.Send send) {
                prepare = (RegisterMessage.PrepareRequest) send.message();
            }
        }
        for (String storageId : List.of("a", "x", "y")) {
            assertThat(proposal.onResponse(
                            new RegisterMessage.PrepareResponse(
                                    prepare.callId(),
                                    storageId,
                                    true,
                                    prepare.proposalNumber(),
                                    ProposalNumber.ZERO,
                                    null),
                            1))
                    .isEmpty();
        }
        assertThat(proposal.onTimer(DEADLINE_NANOS))
                .containsExactly(new ProposalOutput.Finished(new ProposalResult.NotStarted()));
        assertThat(proposal.onTimer(DEADLINE_NANOS + 1)).isEmpty();
    }

    @Test
    void setChangeCompletesAndReadersWithTheOldViewFollowIt() {
        chosen(writing(1));
        List<AcceptorMember> next = members("a", "b", "d");
        ProposalResult.Chosen result = chosen(current -> write(new RegisterValue(next, new byte[] {2})));
        assertThat(result.value().members()).isEqualTo(next);
        assertThat(result.value().payload()).containsExactly(2);
        assertThat(result.decision()).isInstanceOf(ChangeDecision.Write.class);

        register.down.add("a");
        ProposalResult.Chosen read = (ProposalResult.Chosen) register.run(register.proposal(INITIAL_MEMBERS, READ));
        assertThat(read.value().members())
                .as("read by a proposer with the old view")
                .isEqualTo(next);
    }

    @Test
    void proposalWithAnOldViewReadsWhatTheNewSetChose() {
        chosen(writing(1));
        List<AcceptorMember> next = members("c", "d", "e");
        chosen(current -> write(new RegisterValue(next, new byte[] {2})));
        register.down.add("c");
        register.run(register.proposal(next, current -> write(new RegisterValue(next, new byte[] {3}))));
        register.down.clear();
        assertThat(chosen(READ).value().payload()).containsExactly(3);
    }

    @Test
    void setChangeNeedsAMajorityOfEachSet() {
        chosen(writing(1));
        register.down.addAll(List.of("a"));
        List<AcceptorMember> next = members("a", "d", "x");
        assertThat(run(current -> write(new RegisterValue(next, new byte[] {2}))))
                .as("not sent to any acceptor, as a sent change cannot be withdrawn")
                .isEqualTo(new ProposalResult.NotStarted());
        assertThat(chosen(READ).value().payload()).containsExactly(1);
    }

    @Test
    void setChangeWritesTheJointSetAndThenTheNewSet() {
        chosen(writing(1));
        chosen(ADD_ACCEPTOR_D);
        assertThat(register.written)
                .as("first the initial value, then its copy to the joining acceptor")
                .containsExactly("1/p1: 1 for 3", "1/p2: 1 for 3", "2/p2: 2 for 4", "3/p2: 2 for 4");
    }

    @Test
    void setChangeWaitsUntilJoiningAcceptorsHoldTheValue() {
        chosen(writing(1));
        Proposal proposal = register.proposal(INITIAL_MEMBERS, ADD_ACCEPTOR_D);
        List<ProposalOutput> copyOutputs = responsesTo(proposal, untilPrepared(proposal));
        List<ProposalOutput> laterOutputs = new ArrayList<>();
        for (ProposalOutput output : copyOutputs) {
            if (output instanceof ProposalOutput.Send send
                    && !send.member().storageId().equals("d")) {
                laterOutputs.addAll(proposal.onResponse(register.respond(send), 0));
            }
        }
        assertThat(laterOutputs)
                .as("no output while the joining acceptor has no copy")
                .isEmpty();
        assertThat(proposal.onTimer(DEADLINE_NANOS))
                .contains(new ProposalOutput.Finished(new ProposalResult.NotStarted()));
        assertThat(chosen(READ).value().members()).isEqualTo(INITIAL_MEMBERS);
    }

    @Test
    void setChangeWithoutJoiningAcceptorsNeedsNoCopy() {
        chosen(writing(1));
        chosen(ADD_ACCEPTOR_D);
        List<AcceptorMember> four = members("a", "b", "c", "d");
        int before = register.acceptRequests;
        register.run(register.proposal(four, current -> write(new RegisterValue(INITIAL_MEMBERS, new byte[] {3}))));
        assertThat(register.acceptRequests - before)
                .as("the joint set of four, then the set of three")
                .isEqualTo(4 + 3);
    }

    @Test
    void unfinishedSetChangeOfAnotherProposerIsCompletedFirst() {
        chosen(writing(1));
        deliver(untilJointSetIsWritten(register.proposal(INITIAL_MEMBERS, ADD_ACCEPTOR_D)), "a");
        register.written.clear();
        register.down.add("b");

        ProposalResult.Chosen result = chosen(current -> write(new RegisterValue(current.members(), new byte[] {3})));
        assertThat(result.value().members()).isEqualTo(members("a", "b", "c", "d"));
        assertThat(register.written).containsExactly("3/p3: 2 for 4", "4/p3: 2 for 4", "5/p3: 3 for 4");
    }

    @Test
    void newAddressOfTheSameDiskIsNoSetChange() {
        chosen(writing(1));
        List<AcceptorMember> moved = List.of(member("a"), member("b"), new AcceptorMember("c", "elsewhere"));
        chosen(current -> write(new RegisterValue(moved, new byte[] {2})));
        assertThat(register.acceptRequests).isEqualTo(6);
    }

    /** The first value and a set change on top of it are held by a single acceptor, which is unreachable. */
    @Test
    void unchosenSetDoesNotFoundASecondRegister() {
        leaveUnfinishedWriteAt("a", 1);
        Proposal changing = register.proposal(INITIAL_MEMBERS, current -> write(value(members("a", "d", "e"), 2)));
        deliver(untilJointSetIsWritten(changing), "a");
        AcceptorState stored = register.acceptors.get("a").state();
        assertThat(AcceptorSet.of(stored.value().members()).isJoint()).isTrue();
        register.down.add("a");

        ProposalResult resultOfHolder = register.run(register.proposal(RegisterView.of(stored), writeOneIfEmpty()));
        ProposalResult.Chosen resultOfInitialView = (ProposalResult.Chosen) run(READ);

        assertThat(resultOfInitialView.value().payload())
                .as("both proposers see the same register")
                .isEqualTo(((ProposalResult.Chosen) resultOfHolder).value().payload());
    }

    @Test
    void viewOfAChosenValueReachesItsAcceptorsWhenNoInitialAcceptorIsLeft() {
        chosen(writing(1));
        List<AcceptorMember> next = members("c", "d", "e");
        ProposalResult.Chosen moved = chosen(current -> write(new RegisterValue(next, new byte[] {2})));
        register.down.addAll(List.of("a", "b", "c"));

        assertThat(run(READ))
                .as("only the initial acceptors receive requests")
                .isEqualTo(new ProposalResult.NotStarted());
        RegisterView disk = RegisterView.of(register.acceptors.get("d").state());
        assertThat(register.run(register.proposal(disk, READ))).isInstanceOf(ProposalResult.Chosen.class);
        RegisterView set = RegisterView.ofChosenAcceptors(moved.proposalNumber(), next);
        assertThat(register.run(register.proposal(set, READ))).isInstanceOf(ProposalResult.Chosen.class);
    }

    /** Guards against waiting for the next resend, up to 0.4 s, when an acceptor comes back during a proposal. */
    @Test
    void pendingRequestsAreResentWhenAnAcceptorIsReachableAgain() {
        Proposal proposal = register.proposal(INITIAL_MEMBERS, writing(1));
        List<ProposalOutput> outputs = proposal.start(0);
        ProposalOutput.Send first = outputs.stream()
                .filter(ProposalOutput.Send.class::isInstance)
                .map(ProposalOutput.Send.class::cast)
                .filter(send -> send.member().storageId().equals("a"))
                .findFirst()
                .orElseThrow();
        proposal.onResponse(register.respond(first), 0);

        assertThat(proposal.onAcceptorReachable(1))
                .filteredOn(ProposalOutput.Send.class::isInstance)
                .extracting(output -> ((ProposalOutput.Send) output).member().storageId())
                .containsExactlyInAnyOrder("b", "c");
        proposal.onTimer(DEADLINE_NANOS);
        assertThat(proposal.onAcceptorReachable(DEADLINE_NANOS))
                .as("the proposal is finished")
                .isEmpty();
    }

    private static ChangeDecision write(RegisterValue next) {
        return new ChangeDecision.Write(next);
    }

    private static RegisterChange writing(int payloadByte) {
        return current -> write(value(INITIAL_MEMBERS, payloadByte));
    }

    /** A change that writes 1 to an empty register and keeps any other value. */
    private static RegisterChange writeOneIfEmpty() {
        return current -> current == null ? write(value(INITIAL_MEMBERS, 1)) : ChangeDecision.keep();
    }

    private ProposalResult run(RegisterChange change) {
        return register.run(register.proposal(INITIAL_MEMBERS, change));
    }

    private ProposalResult.Chosen chosen(RegisterChange change) {
        return (ProposalResult.Chosen) run(change);
    }

    /** Starts the proposal, delivers all its prepare requests, and returns the outputs that follow. */
    private List<ProposalOutput> untilPrepared(Proposal proposal) {
        return responsesTo(proposal, proposal.start(0));
    }

    private List<ProposalOutput> responsesTo(Proposal proposal, List<ProposalOutput> outputs) {
        List<ProposalOutput> laterOutputs = new ArrayList<>();
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                laterOutputs.addAll(proposal.onResponse(register.respond(send), 0));
            }
        }
        return laterOutputs;
    }

    /** Delivers all requests until the proposal writes a joint set, and returns the outputs with that write. */
    private List<ProposalOutput> untilJointSetIsWritten(Proposal proposal) {
        List<ProposalOutput> outputs = proposal.start(0);
        while (outputs.stream().noneMatch(ProposalTest::writesJointSet)) {
            outputs = responsesTo(proposal, outputs);
        }
        return outputs;
    }

    private static boolean writesJointSet(ProposalOutput output) {
        return output instanceof ProposalOutput.Send send
                && send.message() instanceof RegisterMessage.AcceptRequest accept
                && AcceptorSet.of(accept.value().members()).isJoint();
    }

    /** Leaves a write unfinished: only one acceptor accepts it, then its proposer stops. */
    private void leaveUnfinishedWriteAt(String storageId, int payloadByte) {
        deliver(untilPrepared(register.proposal(INITIAL_MEMBERS, writing(payloadByte))), storageId);
    }

    private void deliver(List<ProposalOutput> outputs, String storageId) {
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send
                    && send.member().storageId().equals(storageId)) {
                register.respond(send);
            }
        }
    }
}
