package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The newest changes of the configuration that were taken. Immutable.
 *
 * <p><b>Invariant.</b> Versions only rise along the values of the register, and only the oldest change is
 * ever forgotten. So all that was taken with a version above {@link #forgottenVersion()} stands here, and
 * nothing here is below it: of those versions it is known what was taken and what was not; of the others
 * nothing is.
 *
 * <p>On the wire it is one text of bytes: the forgotten version, then for each change how far its version is
 * above the one before, both in groups of seven bits, and the fingerprint's eight bytes. A change takes nine
 * bytes, or some more where versions are far apart.
 */
public final class AppliedChanges {
    /** How many changes are remembered; the oldest gives way. About 37 KB then travel with each value. */
    public static final int MAX_CHANGES = 4096;
    /** Nothing was taken yet. */
    public static final AppliedChanges NONE = forgottenUpTo(0);

    /** What is known of a change. */
    public enum Recall {
        /** It was taken. */
        APPLIED,
        /** It was not taken: its version was brought by another change, or by none. */
        NOT_APPLIED,
        /** Its version is among those that are forgotten: it may have been taken. */
        FORGOTTEN
    }

    private static final int LONGEST_NUMBER = 10;
    private static final int GROUP_BITS = 7;
    private static final int GROUP_MASK = 0x7f;
    private static final int MORE_FLAG = 0x80;

    private final long forgottenVersion;
    private final long[] versions;
    private final long[] fingerprints;

    private AppliedChanges(long forgottenVersion, long[] versions, long[] fingerprints) {
        this.forgottenVersion = forgottenVersion;
        this.versions = versions;
        this.fingerprints = fingerprints;
    }

    /** Nothing is known of this version and those below it, and nothing was taken above it. */
    public static AppliedChanges forgottenUpTo(long version) {
        return new AppliedChanges(version, new long[0], new long[0]);
    }

    /** What is known of this change. */
    public Recall recall(AppliedChange change) {
        if (change.version() <= forgottenVersion) {
            return Recall.FORGOTTEN;
        }
        int place = Arrays.binarySearch(versions, change.version());
        return place >= 0 && fingerprints[place] == change.fingerprint() ? Recall.APPLIED : Recall.NOT_APPLIED;
    }

    /** These and a newer one, without the oldest where there is no room for both. */
    public AppliedChanges with(AppliedChange change) {
        if (change.version() <= newestVersion()) {
            throw new IllegalArgumentException("versions rise: " + change.version());
        }
        int from = versions.length < MAX_CHANGES ? 0 : 1;
        long forgotten = from == 0 ? forgottenVersion : versions[0];
        int kept = versions.length - from;
        long[] newVersions = Arrays.copyOfRange(versions, from, from + kept + 1);
        long[] newFingerprints = Arrays.copyOfRange(fingerprints, from, from + kept + 1);
        newVersions[kept] = change.version();
        newFingerprints[kept] = change.fingerprint();
        return new AppliedChanges(forgotten, newVersions, newFingerprints);
    }

    /** Of versions up to this one, nothing is known; 0 where all is. */
    public long forgottenVersion() {
        return forgottenVersion;
    }

    private long newestVersion() {
        return versions.length == 0 ? forgottenVersion : versions[versions.length - 1];
    }

    /** Those that are remembered, oldest first. */
    public List<AppliedChange> changes() {
        List<AppliedChange> changes = new ArrayList<>(versions.length);
        for (int i = 0; i < versions.length; i++) {
            changes.add(new AppliedChange(versions[i], fingerprints[i]));
        }
        return changes;
    }

    /** How many are remembered. */
    public int size() {
        return versions.length;
    }

    @JsonValue
    byte[] toBytes() {
        int most = LONGEST_NUMBER + versions.length * (LONGEST_NUMBER + Long.BYTES);
        ByteBuffer bytes = ByteBuffer.allocate(most);
        putNumber(bytes, forgottenVersion);
        long before = forgottenVersion;
        for (int i = 0; i < versions.length; i++) {
            putNumber(bytes, versions[i] - before);
            bytes.putLong(fingerprints[i]);
            before = versions[i];
        }
        return Arrays.copyOf(bytes.array(), bytes.position());
    }

    /**
     * Reads what {@link #toBytes} wrote.
     *
     * @throws IllegalArgumentException for other bytes
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static AppliedChanges fromBytes(byte[] text) {
        ByteBuffer bytes = ByteBuffer.wrap(text);
        try {
            long forgotten = getNumber(bytes);
            int most = bytes.remaining() / (1 + Long.BYTES);
            long[] versions = new long[most];
            long[] fingerprints = new long[most];
            int count = 0;
            for (long before = forgotten; bytes.hasRemaining(); before = versions[count++]) {
                versions[count] = before + getNumber(bytes);
                fingerprints[count] = bytes.getLong();
                if (versions[count] <= before) {
                    throw new IllegalArgumentException("versions don't rise");
                }
            }
            return new AppliedChanges(forgotten, Arrays.copyOf(versions, count), Arrays.copyOf(fingerprints, count));
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException cutShort) {
            throw new IllegalArgumentException("cut short", cutShort);
        }
    }

    private static void putNumber(ByteBuffer bytes, long number) {
        long left = number;
        while (left >= MORE_FLAG) {
            bytes.put((byte) (left & GROUP_MASK | MORE_FLAG));
            left >>>= GROUP_BITS;
        }
        bytes.put((byte) left);
    }

    private static long getNumber(ByteBuffer bytes) {
        long number = 0;
        for (int i = 0; i < LONGEST_NUMBER; i++) {
            byte group = bytes.get();
            number |= (long) (group & GROUP_MASK) << i * GROUP_BITS;
            if (group >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("a number is too long");
    }
}
