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
 * The controllers that callers may be redirected to. Members that are ALIVE come first, then members that are SUSPECT,
 * then the seeds, of which nothing else is known. Not thread-safe.
 */
final class RedirectTargets {
    /** The most controllers that are known at once; further ones are ignored until one of these has ended. */
    private static final int MAX_CONTROLLERS = 64;

    private final int controlPort;
    private final Map<String, KnownController> controllers = new TreeMap<>();
    private List<String> seeds = List.of();

    private record KnownController(MemberInfo member, MemberState state) {}

    /** @param controlPort port of the control API, the same on all machines */
    RedirectTargets(int controlPort) {
        this.controlPort = controlPort;
    }

    /** The control addresses, IP:PORT, that the settings name as seeds; they replace the former ones. */
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
        KnownController known = controllers.get(member.name());
        if (state.isLive()) {
            if (known != null || controllers.size() < MAX_CONTROLLERS) {
                controllers.put(member.name(), new KnownController(member, state));
            }
        } else if (known != null && known.member().processId() == member.processId()) {
            controllers.remove(member.name());
        }
    }

    /** The control address of one controller, IP:PORT, drawn from the best ones known; empty if none is known. */
    Optional<String> choose(RandomGenerator random) {
        List<String> best = withState(MemberState.ALIVE);
        if (best.isEmpty()) {
            best = withState(MemberState.SUSPECT);
        }
        if (best.isEmpty()) {
            best = seeds;
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(best.get(random.nextInt(best.size())));
    }

    private List<String> withState(MemberState state) {
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
