package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The newest applied changes of the configuration, by which a repeated call is recognized. Immutable.
 *
 * <p><b>Invariant: an applied change is recognized again.</b> Versions only increase along the values of the register,
 * and only the oldest change is ever forgotten. Therefore every change that was applied with a version above
 * {@link #forgottenVersion()} is here, and no change here has a lower version. For versions above it the answer
 * "applied" or "not applied" is certain; for the others nothing is known.
 *
 * <p>The encoding is one byte string: the forgotten version; then for each change the difference of its version from
 * the previous one, and the eight bytes of its fingerprint. Numbers are variable-length, seven bits a byte. A change
 * takes nine bytes, or some more if versions are far apart.
 */
public final class AppliedChanges {
    /** The most changes that are remembered; the oldest is forgotten first. They add about 37 KB to each value. */
    public static final int MAX_CHANGES = 4096;
    /** No change was applied yet. */
    public static final AppliedChanges NONE = forgottenUpTo(0);

    /** What is known about a change. */
    public enum Recall {
        /** It was applied. */
        APPLIED,
        /** It was not applied: another change created its version, or none did. */
        NOT_APPLIED,
        /** Its version is forgotten: it may have been applied. */
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

    /** Nothing is known about this version and lower ones, and no change was applied above it. */
    public static AppliedChanges forgottenUpTo(long version) {
        return new AppliedChanges(version, new long[0], new long[0]);
    }

    /** What is known of this change. */
    public Recall recall(AppliedChange change) {
        if (change.version() <= forgottenVersion) {
            return Recall.FORGOTTEN;
        }
        int index = Arrays.binarySearch(versions, change.version());
        return index >= 0 && fingerprints[index] == change.fingerprint() ? Recall.APPLIED : Recall.NOT_APPLIED;
    }

    /** These changes and a newer one; the oldest is forgotten if there are too many. */
    public AppliedChanges with(AppliedChange change) {
        if (change.version() <= newestVersion()) {
            throw new IllegalArgumentException("version does not increase: " + change.version());
        }
        int from = versions.length < MAX_CHANGES ? 0 : 1;
        long forgotten = from == 0 ? forgottenVersion : versions[0];
        int retained = versions.length - from;
        long[] newVersions = Arrays.copyOfRange(versions, from, from + retained + 1);
        long[] newFingerprints = Arrays.copyOfRange(fingerprints, from, from + retained + 1);
        newVersions[retained] = change.version();
        newFingerprints[retained] = change.fingerprint();
        return new AppliedChanges(forgotten, newVersions, newFingerprints);
    }

    /** The highest version about which nothing is known; 0 if everything is known. */
    public long forgottenVersion() {
        return forgottenVersion;
    }

    private long newestVersion() {
        return versions.length == 0 ? forgottenVersion : versions[versions.length - 1];
    }

    /** The remembered changes, oldest first. */
    public List<AppliedChange> changes() {
        List<AppliedChange> changes = new ArrayList<>(versions.length);
        for (int i = 0; i < versions.length; i++) {
            changes.add(new AppliedChange(versions[i], fingerprints[i]));
        }
        return changes;
    }

    /** The number of remembered changes. */
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
     * @throws IllegalArgumentException for any other bytes
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
                    throw new IllegalArgumentException("versions do not increase");
                }
            }
            return new AppliedChanges(forgotten, Arrays.copyOf(versions, count), Arrays.copyOf(fingerprints, count));
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException truncated) {
            throw new IllegalArgumentException("truncated", truncated);
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
        throw new IllegalArgumentException("number too long");
    }
}
