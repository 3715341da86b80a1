package burlarch.controller.redirect;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The controllers to which callers may be redirected, in order of preference: members that are ALIVE, then members that
 * are SUSPECT, then the seeds, whose state is unknown. Not thread-safe.
 */
final class RedirectTargets {
    /** Limit of known controllers; further ones are ignored until a known one has ended. */
    private static final int MAX_CONTROLLERS = 64;

    private final int controlPort;
    private final Map<String, KnownController> controllers = new TreeMap<>();
    private List<String> seeds = List.of();

    private record KnownController(MemberInfo member, MemberState state) {}

    /** @param controlPort port of the control API, the same on all machines */
    RedirectTargets(int controlPort) {
        this.controlPort = controlPort;
    }

    /**
     * Replaces the seeds.
     *
     * @param controlAddresses IP:PORT of the control API of each seed
     */
    void onSeeds(Collection<String> controlAddresses) {
        seeds = List.copyOf(controlAddresses);
    }

    /** Applies the changes of controllers and ignores those of other roles. */
    void onChanges(List<MemberChange> changes) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.CONTROLLER)) {
                apply(change.member(), change.after());
            }
        }
    }

    private void apply(MemberInfo member, MemberState state) {
        KnownController existing = controllers.get(member.name());
        if (state.isLive()) {
            if (existing != null || controllers.size() < MAX_CONTROLLERS) {
                controllers.put(member.name(), new KnownController(member, state));
            }
        } else if (existing != null && existing.member().processId() == member.processId()) {
            controllers.remove(member.name());
        }
    }

    /**
     * Returns the control address, IP:PORT, of a random controller from the most preferred non-empty group; empty if
     * none is known.
     */
    Optional<String> choose(RandomGenerator random) {
        List<String> candidates = addressesInState(MemberState.ALIVE);
        if (candidates.isEmpty()) {
            candidates = addressesInState(MemberState.SUSPECT);
        }
        if (candidates.isEmpty()) {
            candidates = seeds;
        }
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private List<String> addressesInState(MemberState state) {
        List<String> addresses = new ArrayList<>();
        for (KnownController controller : controllers.values()) {
            if (controller.state() == state) {
                addresses.add(controlAddress(controller.member()));
            }
        }
        return addresses;
    }

    private String controlAddress(MemberInfo member) {
        String nodeAddress = member.address();
        return nodeAddress.substring(0, nodeAddress.lastIndexOf(':') + 1) + controlPort;
    }
}
