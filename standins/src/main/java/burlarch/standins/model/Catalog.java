package burlarch.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery's list with its versions, without I/O or clock. Changes are kept for a number of versions; who
 * asks from before them gets the whole list.
 */
public final class Catalog {
    /** Where a member stands, in the protocol's words. */
    public enum Lifecycle {
        SERVING,
        DRAINING,
        DELETED
    }

    /** @param startedAtMs Unix time; 0 for long ago */
    public record Member(
            String id, String zone, String kind, int cell, double weight, Lifecycle lifecycle, long startedAtMs) {
        public Member with(Lifecycle other) {
            return new Member(id, zone, kind, cell, weight, other, startedAtMs);
        }
    }

    /**
     * An answer to a call.
     *
     * @param reset whether it is the whole list, and what is not in it is gone
     */
    public record Update(long generation, boolean reset, List<Member> members) {}

    private record Change(long generation, Member member) {}

    private final int keptChanges;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long generation;

    public Catalog(long generation, int keptChanges) {
        this.generation = generation;
        this.keptChanges = keptChanges;
    }

    /** Adds the member, replaces the one of its id, or removes it where its lifecycle is DELETED. */
    public void put(Member member) {
        generation++;
        if (member.lifecycle() == Lifecycle.DELETED) {
            members.remove(member.id());
        } else {
            members.put(member.id(), member);
        }
        changes.add(new Change(generation, member));
        if (changes.size() > keptChanges) {
            changes.poll();
        }
    }

    public Member member(String id) {
        return members.get(id);
    }

    public long generation() {
        return generation;
    }

    public Update whole() {
        return new Update(generation, true, List.copyOf(members.values()));
    }

    /**
     * What has changed after a version, each member as it is now; the whole where that is not known any more.
     */
    public Update since(long version) {
        if (version > generation
                || !changes.isEmpty() && version < changes.peek().generation() - 1
                || changes.isEmpty() && version < generation) {
            return whole();
        }
        Map<String, Member> changed = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.generation() > version) {
                changed.remove(change.member().id());
                changed.put(change.member().id(), change.member());
            }
        }
        return new Update(generation, false, new ArrayList<>(changed.values()));
    }
}
