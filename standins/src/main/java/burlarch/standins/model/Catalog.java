package burlarch.standins.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery's member list with a generation number that each change increments; free of I/O and clocks. A bounded
 * number of changes is kept: a caller whose generation is older gets the whole list. Not thread-safe.
 */
public final class Catalog {
    /** Lifecycle of a member, as the protocol names it. */
    public enum Lifecycle {
        SERVING,
        DRAINING,
        DELETED
    }

    /**
     * An entry of the list.
     *
     * @param startedAtMs Unix time in milliseconds of the last start; 0 if long ago
     */
    public record Member(
            String id, String zone, String kind, int cell, double weight, Lifecycle lifecycle, long startedAtMs) {
        /** Returns a copy in another lifecycle. */
        public Member withLifecycle(Lifecycle newLifecycle) {
            return new Member(id, zone, kind, cell, weight, newLifecycle, startedAtMs);
        }
    }

    /**
     * A response to a caller.
     *
     * @param generation generation of the list
     * @param reset      whether this is the whole list, so that members absent from it are gone
     * @param members    the whole list, or the changed members
     */
    public record Update(long generation, boolean reset, List<Member> members) {}

    private record Change(long generation, Member member) {}

    private final int keptChanges;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long generation;

    /** Creates an empty list that keeps the last {@code keptChanges} changes. */
    public Catalog(long generation, int keptChanges) {
        this.generation = generation;
        this.keptChanges = keptChanges;
    }

    /** Adds a member or replaces the one with the same id; a member in lifecycle DELETED is removed. */
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

    /** Returns the member with this id, or null. */
    public Member member(String id) {
        return members.get(id);
    }

    /** Present generation of the list. */
    public long generation() {
        return generation;
    }

    /** Returns the whole list. */
    public Update wholeList() {
        return new Update(generation, true, List.copyOf(members.values()));
    }

    /**
     * Returns the members changed after a generation, each in its present state; the whole list if the changes since
     * then are no longer kept.
     */
    public Update changesSince(long sinceGeneration) {
        if (sinceGeneration > generation
                || !changes.isEmpty() && sinceGeneration < changes.peek().generation() - 1
                || changes.isEmpty() && sinceGeneration < generation) {
            return wholeList();
        }
        Map<String, Member> changed = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.generation() > sinceGeneration) {
                changed.remove(change.member().id());
                changed.put(change.member().id(), change.member());
            }
        }
        return new Update(generation, false, new ArrayList<>(changed.values()));
    }
}
