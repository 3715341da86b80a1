package burlarch.coordination.membership.swim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Addresses at which an unknown member may be: the seeds, and up to {@value #MAX_LOST_ADDRESSES} addresses of members
 * that died and were forgotten. Through them the two sides of a long partition find each other again.
 */
final class ContactPoints {
    private static final int MAX_LOST_ADDRESSES = 16;

    private final List<String> seeds;
    /** The one lost first comes first. */
    private final List<String> lost = new ArrayList<>();

    private int nextIndex;

    ContactPoints(List<String> seeds, String ownAddress, Random random) {
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(ownAddress);
        nextIndex = random.nextInt(Math.max(1, this.seeds.size()));
    }

    /** Adds the address of a member that was forgotten; the oldest one gives way. */
    void addLost(String address) {
        lost.remove(address);
        if (lost.size() >= MAX_LOST_ADDRESSES) {
            lost.remove(0);
        }
        lost.add(address);
    }

    /** A member is known at that address again. */
    void removeLost(String address) {
        lost.remove(address);
    }

    int size() {
        return seeds.size() + lost.size();
    }

    /** The next address in turn, or null where there is none. */
    String next() {
        if (size() == 0) {
            return null;
        }
        int index = Math.floorMod(nextIndex++, size());
        return index < seeds.size() ? seeds.get(index) : lost.get(index - seeds.size());
    }
}
