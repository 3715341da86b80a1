package burlarch.controller.register;

import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSetChange;
import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * The newest value that is known to be chosen, and whom to ask for newer ones. Never goes back. Lives on the
 * loop.
 */
public final class CommittedState {
    /** Told of each newer value. */
    public interface Listener {
        void onCommitted(SystemState state, boolean ownProposal);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private ProposalNumber proposalNumber = ProposalNumber.ZERO;
    private RegisterValue value;
    private SystemState state = SystemState.EMPTY;
    private RegisterView registerView;

    /** @param stored what this process's disk tells of the register: holds until a newer value is known */
    public CommittedState(RegisterView stored) {
        registerView = stored;
    }

    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Takes over a chosen value if it is newer.
     *
     * @param ownProposal whether a proposal of this process chose it
     * @return whether it was newer
     */
    public boolean advance(ProposalNumber chosenBallot, RegisterValue chosen, boolean ownProposal) {
        if (chosen == null || chosenBallot.compareTo(proposalNumber) <= 0) {
            return false;
        }
        proposalNumber = chosenBallot;
        value = chosen;
        state = SystemStateCodec.decode(chosen.payload());
        List<AcceptorMember> before = registerView.members();
        registerView = registerView.newerOf(RegisterView.of(chosenBallot, chosen));
        AcceptorSetChange change = AcceptorSetChange.between(before, registerView.members());
        if (!change.isEmpty()) {
            Logger.info("acceptors: {}, version {}", change, chosenBallot.term());
        }
        listeners.forEach(listener -> listener.onCommitted(state, ownProposal));
        return true;
    }

    public ProposalNumber proposalNumber() {
        return proposalNumber;
    }

    /** Null before anything was chosen. */
    public RegisterValue value() {
        return value;
    }

    public SystemState state() {
        return state;
    }

    /** What a proposal begins with. */
    public RegisterView registerView() {
        return registerView;
    }

    /** The acceptors as far as is known here: until a value is known as chosen, those on the disk. */
    public List<AcceptorMember> members() {
        return registerView.members();
    }
}
