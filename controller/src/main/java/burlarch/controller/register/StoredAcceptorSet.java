package burlarch.controller.register;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.storage.AcceptorStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Persistent copy of the acceptor set of the newest chosen value that this controller has learned. After a start, a
 * controller that is not an acceptor, or whose accepted value is older than a change of the set, uses it to find the
 * acceptors.
 *
 * <p>Stored as one named value of the acceptor's store, bounded by {@link AcceptorStore#MAX_NAMED_VALUE_BYTES}. The
 * text format is persistent and must not change: the proposal number's term and proposer in the first line, then the
 * storage identity and address of one acceptor on each line.
 */
final class StoredAcceptorSet {
    private static final String KEY = "known-acceptors";
    private static final String SEPARATOR = " ";
    private static final int FIELDS_PER_LINE = 2;

    private StoredAcceptorSet() {}

    /** The acceptor set that was saved last; {@link RegisterView#NONE} if none was saved. */
    static RegisterView load(AcceptorStore store) {
        Optional<byte[]> stored = store.namedValue(KEY);
        return stored.isEmpty() ? RegisterView.NONE : parse(new String(stored.get(), UTF_8));
    }

    private static RegisterView parse(String text) {
        List<String> lines = text.lines().toList();
        String[] number = lines.get(0).split(SEPARATOR, FIELDS_PER_LINE);
        List<AcceptorMember> members = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            String[] member = line.split(SEPARATOR, FIELDS_PER_LINE);
            members.add(new AcceptorMember(member[0], member[1]));
        }
        return RegisterView.ofChosenAcceptors(new ProposalNumber(Long.parseLong(number[0]), number[1]), members);
    }

    /**
     * Makes the acceptors of a chosen value durable, unless the same acceptors are stored already.
     *
     * @throws IOException if the write failed, so that they may not be durable; the next call retries
     */
    static void save(AcceptorStore store, RegisterView chosen) throws IOException {
        if (load(store).members().equals(chosen.members())) {
            return;
        }
        store.saveNamedValue(KEY, format(chosen).getBytes(UTF_8));
    }

    private static String format(RegisterView chosen) {
        StringBuilder text = new StringBuilder();
        text.append(chosen.proposalNumber().term())
                .append(SEPARATOR)
                .append(chosen.proposalNumber().proposer());
        for (AcceptorMember member : chosen.members()) {
            text.append('\n').append(member.storageId()).append(SEPARATOR).append(member.address());
        }
        return text.toString();
    }
}
