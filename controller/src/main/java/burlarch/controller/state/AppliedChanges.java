package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Bounded, immutable history of the newest applied configuration changes, by which a repeated call is recognized.
 *
 * <p><b>Invariant: an applied change is recognized again.</b> Versions only increase along the values of the register,
 * and only the oldest change is ever removed. Therefore every change that was applied with a version above
 * {@link #forgottenVersion()} is here, and no change here has a lower version. For versions above it the result APPLIED
 * or NOT_APPLIED is certain; for lower versions nothing is known.
 *
 * <p>The encoding is one byte string: the forgotten version; then for each change the difference of its version from
 * the previous one, and the eight bytes of its fingerprint. Numbers are varints with seven bits per byte, least
 * significant group first. A change takes nine bytes, or more if its version is far from the previous one.
 */
public final class AppliedChanges {
    /** Limit of remembered changes; the oldest is removed first. They add about 37 KB to each register value. */
    public static final int MAX_CHANGES = 4096;
    /** The history before the first change. */
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

    private static final int MAX_VARINT_BYTES = 10;
    private static final int BITS_PER_GROUP = 7;
    private static final int GROUP_MASK = 0x7f;
    private static final int CONTINUATION_BIT = 0x80;

    private final long forgottenVersion;
    private final long[] versions;
    private final long[] fingerprints;

    private AppliedChanges(long forgottenVersion, long[] versions, long[] fingerprints) {
        this.forgottenVersion = forgottenVersion;
        this.versions = versions;
        this.fingerprints = fingerprints;
    }

    /** An empty history in which nothing is known about the given version and lower ones. */
    public static AppliedChanges forgottenUpTo(long version) {
        return new AppliedChanges(version, new long[0], new long[0]);
    }

    /** Returns what is known about a change. */
    public Recall recall(AppliedChange change) {
        if (change.version() <= forgottenVersion) {
            return Recall.FORGOTTEN;
        }
        int index = Arrays.binarySearch(versions, change.version());
        return index >= 0 && fingerprints[index] == change.fingerprint() ? Recall.APPLIED : Recall.NOT_APPLIED;
    }

    /**
     * Returns a copy with a newer change added, and the oldest removed if there are too many.
     *
     * @throws IllegalArgumentException if the version of the change is not above all others
     */
    public AppliedChanges with(AppliedChange change) {
        if (change.version() <= newestVersion()) {
            throw new IllegalArgumentException(
                    "version of the change must be above all applied versions: " + change.version());
        }
        int from = versions.length < MAX_CHANGES ? 0 : 1;
        long newForgottenVersion = from == 0 ? forgottenVersion : versions[0];
        int retained = versions.length - from;
        long[] newVersions = Arrays.copyOfRange(versions, from, from + retained + 1);
        long[] newFingerprints = Arrays.copyOfRange(fingerprints, from, from + retained + 1);
        newVersions[retained] = change.version();
        newFingerprints[retained] = change.fingerprint();
        return new AppliedChanges(newForgottenVersion, newVersions, newFingerprints);
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
        int maxBytes = MAX_VARINT_BYTES + versions.length * (MAX_VARINT_BYTES + Long.BYTES);
        ByteBuffer bytes = ByteBuffer.allocate(maxBytes);
        putVarint(bytes, forgottenVersion);
        long previousVersion = forgottenVersion;
        for (int i = 0; i < versions.length; i++) {
            putVarint(bytes, versions[i] - previousVersion);
            bytes.putLong(fingerprints[i]);
            previousVersion = versions[i];
        }
        return Arrays.copyOf(bytes.array(), bytes.position());
    }

    /**
     * Reads what {@link #toBytes} wrote.
     *
     * @throws IllegalArgumentException for any other bytes
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    static AppliedChanges fromBytes(byte[] encoded) {
        ByteBuffer bytes = ByteBuffer.wrap(encoded);
        try {
            long forgottenVersion = getVarint(bytes);
            int maxCount = bytes.remaining() / (1 + Long.BYTES);
            long[] versions = new long[maxCount];
            long[] fingerprints = new long[maxCount];
            int count = 0;
            for (long previousVersion = forgottenVersion; bytes.hasRemaining(); previousVersion = versions[count++]) {
                versions[count] = previousVersion + getVarint(bytes);
                fingerprints[count] = bytes.getLong();
                if (versions[count] <= previousVersion) {
                    throw new IllegalArgumentException("versions in encoded changes do not increase");
                }
            }
            return new AppliedChanges(
                    forgottenVersion, Arrays.copyOf(versions, count), Arrays.copyOf(fingerprints, count));
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException truncated) {
            throw new IllegalArgumentException("truncated", truncated);
        }
    }

    private static void putVarint(ByteBuffer bytes, long number) {
        long remaining = number;
        while (remaining >= CONTINUATION_BIT) {
            bytes.put((byte) (remaining & GROUP_MASK | CONTINUATION_BIT));
            remaining >>>= BITS_PER_GROUP;
        }
        bytes.put((byte) remaining);
    }

    private static long getVarint(ByteBuffer bytes) {
        long number = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            byte group = bytes.get();
            number |= (long) (group & GROUP_MASK) << i * BITS_PER_GROUP;
            if (group >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("varint longer than 10 bytes");
    }
}
