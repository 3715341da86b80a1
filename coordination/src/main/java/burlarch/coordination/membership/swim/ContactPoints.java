package burlarch.coordination.membership.swim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The addresses at which unknown members may be: the seeds, and up to {@value #MAX_LOST_ADDRESSES} addresses of
 * members that died and were forgotten. They let the two sides of a long partition find each other again.
 */
final class ContactPoints {
    private static final int MAX_LOST_ADDRESSES = 16;

    private final List<String> seeds;
    /** Addresses of forgotten members, the oldest first. */
    private final List<String> lostAddresses = new ArrayList<>();

    private int nextIndex;

    ContactPoints(List<String> seeds, String ownAddress, Random random) {
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(ownAddress);
        nextIndex = random.nextInt(Math.max(1, this.seeds.size()));
    }

    /** Adds the address of a forgotten member; evicts the oldest address if there are too many. */
    void addLost(String address) {
        lostAddresses.remove(address);
        if (lostAddresses.size() >= MAX_LOST_ADDRESSES) {
            lostAddresses.remove(0);
        }
        lostAddresses.add(address);
    }

    /** Removes an address at which a member is known again. */
    void removeLost(String address) {
        lostAddresses.remove(address);
    }

    int size() {
        return seeds.size() + lostAddresses.size();
    }

    /** Returns the next address, round robin, or null if there is none. */
    String next() {
        if (size() == 0) {
            return null;
        }
        int index = Math.floorMod(nextIndex++, size());
        return index < seeds.size() ? seeds.get(index) : lostAddresses.get(index - seeds.size());
    }
}
