package burlarch.controller.register;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.storage.AcceptorStore;
import burlarch.storage.DamagedLogException;
import burlarch.storage.DamagedLogQuarantine;
import burlarch.storage.Disk;
import burlarch.storage.SegmentedLog;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * The register's persistent data that a controller recovers from its disk when it starts. Opened before the event loop
 * and the disk thread run.
 *
 * @param store the acceptor's store
 * @param initialView the newest information on this disk about the register and its acceptors, taken from the accepted
 *     value, the acceptors of a chosen value, or those of the first start
 */
public record RegisterStorage(AcceptorStore store, RegisterView initialView) {
    /** Named value of the store: the addresses of the acceptors of the first start, one a line. */
    private static final String FIRST_MEMBERS = "first-members";

    /**
     * Opens the disk with segments of the default size; see the other overload.
     *
     * @param address IP:PORT of this process
     * @param seeds the addresses of the acceptors of the first start
     * @param bootstrap whether the fleet starts for the first time. The disk's identity is then derived from the
     *     address, so that all controllers know the first acceptors without communication
     * @param newIdentity supplies a unique identity for a disk that is empty at a later start
     * @throws IOException if the disk can't be read, or if writes may not be durable; opening may be tried again
     */
    public static RegisterStorage open(
            Disk disk, String address, List<String> seeds, boolean bootstrap, Supplier<String> newIdentity)
            throws IOException {
        return open(disk, address, seeds, bootstrap, newIdentity, SegmentedLog.DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Opens the disk. A damaged log is set aside: the acceptor then has a new identity and no vote until the others
     * admit it, as after the loss of its disk.
     *
     * @param segmentBytes size of a log segment in bytes; a snapshot is written when it is reached
     */
    public static RegisterStorage open(
            Disk disk,
            String address,
            List<String> seeds,
            boolean bootstrap,
            Supplier<String> newIdentity,
            long segmentBytes)
            throws IOException {
        DamagedLogQuarantine quarantine = new DamagedLogQuarantine(disk);
        quarantine.finish();
        try {
            return openIntact(disk, address, seeds, bootstrap, newIdentity, segmentBytes);
        } catch (DamagedLogException damaged) {
            Logger.error(
                    "disk is damaged: log set aside, acceptor has no vote until the others admit it, error=\"{}\"",
                    damaged.getMessage());
            quarantine.begin();
            return openIntact(disk, address, seeds, false, newIdentity, segmentBytes);
        }
    }

    private static RegisterStorage openIntact(
            Disk disk,
            String address,
            List<String> seeds,
            boolean bootstrap,
            Supplier<String> newIdentity,
            long segmentBytes)
            throws IOException {
        // Written together, so that a crash between two writes can't leave an acceptor that knows no other acceptors.
        AcceptorStore store = AcceptorStore.open(
                disk,
                () -> bootstrap ? firstIdentity(address) : newIdentity.get(),
                bootstrap ? Map.of(FIRST_MEMBERS, encodeMembers(seeds)) : Map.of(),
                segmentBytes);
        RegisterView firstView = RegisterView.ofInitialAcceptors(firstMembers(store));
        RegisterView newestView =
                firstView.newerOf(StoredAcceptorSet.load(store)).newerOf(RegisterView.of(store.state()));
        return new RegisterStorage(store, newestView);
    }

    private static String firstIdentity(String address) {
        return "first-" + address;
    }

    private static List<AcceptorMember> firstMembers(AcceptorStore store) {
        return store.namedValue(FIRST_MEMBERS)
                .map(RegisterStorage::parseMembers)
                .orElse(List.of());
    }

    private static byte[] encodeMembers(List<String> addresses) {
        return String.join("\n", addresses).getBytes(UTF_8);
    }

    private static List<AcceptorMember> parseMembers(byte[] addresses) {
        return new String(addresses, UTF_8)
                .lines()
                .map(seed -> new AcceptorMember(firstIdentity(seed), seed))
                .toList();
    }
}
