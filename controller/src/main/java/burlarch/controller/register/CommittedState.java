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
import java.util.Optional;
import org.tinylog.Logger;

/**
 * The newest value of the register that this process knows to be chosen, with the state in it and the acceptors to ask
 * for newer values. Runs on the event loop; in memory only.
 *
 * <p>Invariant <em>never backwards</em>: the proposal number only increases, so the state only moves forward along the
 * values of the register.
 */
public final class CommittedState {
    /** The way in which this process learned that a value is chosen. */
    public enum Origin {
        /** A proposal of this process ended with the value. */
        OWN_PROPOSAL,
        /** Another controller reported the value. */
        OTHER_CONTROLLER
    }

    /** Listener for newer committed values. Called on the event loop, in the order of registration. */
    public interface Listener {
        /** Called after a newer value became known as chosen. */
        void onCommitted(SystemState state, Origin origin);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private ProposalNumber proposalNumber = ProposalNumber.ZERO;
    /** Null while no value is known to be chosen. */
    private RegisterValue value;

    private SystemState state = SystemState.EMPTY;
    private RegisterView registerView;

    /** @param stored information about the register from this process's disk; used until a newer value is known */
    public CommittedState(RegisterView stored) {
        registerView = stored;
    }

    /** Adds a listener, which is notified of later values only. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Advances to a chosen value if it is newer than the known one.
     *
     * @return whether it is newer
     */
    boolean advance(ProposalNumber chosenNumber, RegisterValue chosen, Origin origin) {
        if (chosenNumber.compareTo(proposalNumber) <= 0) {
            return false;
        }
        proposalNumber = chosenNumber;
        value = chosen;
        state = SystemStateCodec.decode(chosen.payload());
        List<AcceptorMember> previousMembers = registerView.members();
        registerView = registerView.newerOf(RegisterView.of(chosenNumber, chosen));
        AcceptorSetChange change = AcceptorSetChange.between(previousMembers, registerView.members());
        if (!change.isEmpty()) {
            Logger.info("acceptor set changed: change=\"{}\" term={}", change, chosenNumber.term());
        }
        listeners.forEach(listener -> listener.onCommitted(state, origin));
        return true;
    }

    /** The proposal number of {@link #value}; {@link ProposalNumber#ZERO} while no value is known to be chosen. */
    public ProposalNumber proposalNumber() {
        return proposalNumber;
    }

    /** The newest value that is known to be chosen; empty before there is one. */
    Optional<RegisterValue> value() {
        return Optional.ofNullable(value);
    }

    /** The state in {@link #value}; the empty state while no value is known to be chosen. */
    public SystemState state() {
        return state;
    }

    /** The information about the register that a proposal starts with. */
    RegisterView registerView() {
        return registerView;
    }

    /** The acceptors of {@link #value}; those on the disk while no value is known to be chosen. */
    public List<AcceptorMember> members() {
        return registerView.members();
    }
}
