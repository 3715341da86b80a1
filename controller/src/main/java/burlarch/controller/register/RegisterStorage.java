package burlarch.controller.register;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.storage.AcceptorStore;
import burlarch.storage.Disk;
import burlarch.storage.SegmentedLog;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

/**
 * What a controller finds on its disk.
 *
 * @param store of the acceptor
 * @param initialView the newest that this disk tells of the register and its acceptors: the value accepted here,
 *     the acceptors of a chosen value, or those of the first start
 */
public record RegisterStorage(AcceptorStore store, RegisterView initialView) {
    /** Extra value of the store: acceptors of the first start, one a line. */
    private static final String FIRST_MEMBERS = "first-members";

    /**
     * Opens the disk. At the first start of the whole system the identity follows from the address, so that
     * all know the first acceptors unasked.
     *
     * @param newIdentity for a disk that comes empty later: an identity that no other disk ever has
     * @throws IOException if the disk can't be read or made lasting; opening may be tried again
     */
    public static RegisterStorage open(
            Disk disk, String address, List<String> seeds, boolean bootstrap, Supplier<String> newIdentity)
            throws IOException {
        return open(disk, address, seeds, bootstrap, newIdentity, SegmentedLog.DEFAULT_SEGMENT_BYTES);
    }

    /** As the other one, with snapshots at other distances. */
    public static RegisterStorage open(
            Disk disk,
            String address,
            List<String> seeds,
            boolean bootstrap,
            Supplier<String> newIdentity,
            long segmentBytes)
            throws IOException {
        AcceptorStore store =
                AcceptorStore.open(disk, () -> bootstrap ? firstIdentity(address) : newIdentity.get(), segmentBytes);
        RegisterView first = RegisterView.ofInitialAcceptors(firstMembers(store, seeds, bootstrap));
        RegisterView belief = first.newerOf(StoredAcceptorSet.load(store)).newerOf(RegisterView.of(store.state()));
        return new RegisterStorage(store, belief);
    }

    private static String firstIdentity(String address) {
        return "first-" + address;
    }

    private static List<AcceptorMember> firstMembers(AcceptorStore store, List<String> seeds, boolean bootstrap)
            throws IOException {
        byte[] kept = store.namedValue(FIRST_MEMBERS).orElse(null);
        if (kept == null && bootstrap) {
            kept = String.join("\n", seeds).getBytes(UTF_8);
            store.saveNamedValue(FIRST_MEMBERS, kept);
        }
        if (kept == null) {
            return List.of();
        }
        return new String(kept, UTF_8)
                .lines()
                .map(seed -> new AcceptorMember(firstIdentity(seed), seed))
                .toList();
    }
}
