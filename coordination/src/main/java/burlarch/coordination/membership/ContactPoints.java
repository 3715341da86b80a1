package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Addresses at which someone may be met whose identity isn't known: the seeds, and some where a member was
 * lost. They are how the halves of a long cut find each other again.
 */
final class ContactPoints {
    private static final int MAX_LOST_ADDRESSES = 16;

    private final List<String> seeds;
    private final List<String> lost = new ArrayList<>();
    private int nextSeed;

    ContactPoints(List<String> seeds, String own, Random random) {
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(own);
        nextSeed = random.nextInt(Math.max(1, this.seeds.size()));
    }

    void addLost(String address) {
        lost.remove(address);
        if (lost.size() >= MAX_LOST_ADDRESSES) {
            lost.remove(0);
        }
        lost.add(address);
    }

    void removeLost(String address) {
        lost.remove(address);
    }

    int size() {
        return seeds.size() + lost.size();
    }

    /** The next address by turns, or null where there is none. */
    String next() {
        if (size() == 0) {
            return null;
        }
        int index = Math.floorMod(nextSeed++, size());
        return index < seeds.size() ? seeds.get(index) : lost.get(index - seeds.size());
    }
}
