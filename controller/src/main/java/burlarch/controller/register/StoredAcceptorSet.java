package burlarch.controller.register;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.storage.AcceptorStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The acceptors of the newest chosen value that this controller has heard of, on its disk: whom a controller
 * asks after a start that is no acceptor, or whose own vote has missed a change of the acceptors. Bounded by
 * {@link AcceptorStore#MAX_NAMED_VALUE_BYTES}.
 */
final class StoredAcceptorSet {
    /** Extra value of the store: round and proposer of the ballot, then one acceptor a line. */
    private static final String KEY = "known-acceptors";

    private static final String SEPARATOR = " ";
    private static final int FIELDS_PER_LINE = 2;

    private StoredAcceptorSet() {}

    /** What was saved last; {@link RegisterView#NONE} where nothing was. */
    static RegisterView load(AcceptorStore store) {
        byte[] kept = store.namedValue(KEY).orElse(null);
        if (kept == null) {
            return RegisterView.NONE;
        }
        List<String> lines = new String(kept, UTF_8).lines().toList();
        String[] ballot = lines.get(0).split(SEPARATOR, FIELDS_PER_LINE);
        List<AcceptorMember> members = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] member = line.split(SEPARATOR, FIELDS_PER_LINE);
            members.add(new AcceptorMember(member[0], member[1]));
        }
        return RegisterView.ofChosenAcceptors(new ProposalNumber(Long.parseLong(ballot[0]), ballot[1]), members);
    }

    /**
     * Makes the acceptors of a chosen value durable where others were saved before.
     *
     * @throws IOException if it may not have lasted; the next call tries again
     */
    static void save(AcceptorStore store, RegisterView chosen) throws IOException {
        if (load(store).members().equals(chosen.members())) {
            return;
        }
        StringBuilder text = new StringBuilder();
        text.append(chosen.proposalNumber().term())
                .append(SEPARATOR)
                .append(chosen.proposalNumber().proposer());
        for (AcceptorMember member : chosen.members()) {
            text.append('\n').append(member.storageId()).append(SEPARATOR).append(member.address());
        }
        store.saveNamedValue(KEY, text.toString().getBytes(UTF_8));
    }
}
