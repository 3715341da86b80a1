package burlarch.coordination.ownership;

import burlarch.coordination.membership.MemberInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * An assignment of keys to members by rendezvous hashing: each member has a score for each key, and the member with
 * the highest score owns the key. Immutable.
 *
 * <p>Processes that know the same members agree on all owners without exchanging messages. When a member leaves, only
 * its own keys move.
 */
public final class RendezvousAssignment {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private final List<String> members;
    private final long[] memberHashes;
    private final List<String> keys;

    /**
     * Creates an assignment; the order of the members has no effect.
     *
     * @param members names of the members that share the keys
     * @param keys the keys that {@link #keysOf} divides; {@link #ownerOf} accepts any other key too
     */
    public RendezvousAssignment(Collection<String> members, Collection<String> keys) {
        this.members = List.copyOf(new TreeSet<>(members));
        this.keys = List.copyOf(keys);
        memberHashes = new long[this.members.size()];
        for (int i = 0; i < memberHashes.length; i++) {
            memberHashes[i] = hash(this.members.get(i));
        }
    }

    /** Creates an assignment to those of the members that have this role. */
    public static RendezvousAssignment ofRole(String role, Collection<MemberInfo> members, Collection<String> keys) {
        List<String> names = new ArrayList<>();
        for (MemberInfo member : members) {
            if (member.role().equals(role)) {
                names.add(member.name());
            }
        }
        return new RendezvousAssignment(names, keys);
    }

    /** Returns the name of the key's owner; empty when there is no member. */
    public Optional<String> ownerOf(String key) {
        long keyHash = hash(key);
        String owner = null;
        long highestScore = Long.MIN_VALUE;
        for (int i = 0; i < memberHashes.length; i++) {
            long score = mix(memberHashes[i] ^ keyHash);
            if (owner == null || score > highestScore) {
                owner = members.get(i);
                highestScore = score;
            }
        }
        return Optional.ofNullable(owner);
    }

    /** Returns a member's score for a key, from 0 to below 1; the same in all processes. */
    public static double score(String member, String key) {
        return (mix(hash(member) ^ hash(key)) >>> 11) * 0x1.0p-53;
    }

    /** Returns the keys that this member owns, in their given order. */
    public List<String> keysOf(String member) {
        List<String> owned = new ArrayList<>();
        for (String key : keys) {
            if (ownerOf(key).filter(member::equals).isPresent()) {
                owned.add(key);
            }
        }
        return owned;
    }

    /** FNV-1a over the characters, followed by {@link #mix}. */
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Applies the finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
