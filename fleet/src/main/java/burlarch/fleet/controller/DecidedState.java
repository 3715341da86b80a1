package burlarch.fleet.controller;

import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.Member;
import burlarch.coordination.register.RegisterValue;
import burlarch.fleet.controller.state.SystemState;
import burlarch.fleet.controller.state.SystemStateCodec;
import java.util.ArrayList;
import java.util.List;

/** The newest value that is known to be chosen. Never goes back. Lives on the loop. */
final class DecidedState {
    /** Told of each newer value. */
    interface Listener {
        void onDecided(SystemState state, boolean ownProposal);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private Ballot ballot = Ballot.ZERO;
    private RegisterValue value;
    private SystemState state = SystemState.EMPTY;
    private List<Member> members;

    /** @param firstMembers the acceptors while nothing was chosen yet */
    DecidedState(List<Member> firstMembers) {
        members = firstMembers;
    }

    void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Takes over a chosen value if it is newer.
     *
     * @param ownProposal whether a proposal of this process chose it
     * @return whether it was newer
     */
    boolean adopt(Ballot chosenBallot, RegisterValue chosen, boolean ownProposal) {
        if (chosen == null || chosenBallot.compareTo(ballot) <= 0) {
            return false;
        }
        ballot = chosenBallot;
        value = chosen;
        state = SystemStateCodec.decode(chosen.payload());
        if (!chosen.members().isEmpty()) {
            members = chosen.members();
        }
        listeners.forEach(listener -> listener.onDecided(state, ownProposal));
        return true;
    }

    Ballot ballot() {
        return ballot;
    }

    /** Null before anything was chosen. */
    RegisterValue value() {
        return value;
    }

    SystemState state() {
        return state;
    }

    /** The acceptors, as far as is known here. */
    List<Member> members() {
        return members;
    }
}
