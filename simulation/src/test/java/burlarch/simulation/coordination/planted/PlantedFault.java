package burlarch.simulation.coordination.planted;

import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.node.ComponentOverrides;
import java.util.Set;
import java.util.function.Supplier;

/** Faults that the search has to find, each by a violation of one of its rules. */
public enum PlantedFault {
    REPLIES_BEFORE_SYNC(
            1, PlantedRegisterFaults.RepliesBeforeSync::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    KEEPS_IDENTITY(1, PlantedRegisterFaults.KeepsIdentity::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    SHARES_IDENTITY(
            1,
            PlantedRegisterFaults.SharesIdentity::new,
            Rule.COMMITTED_CHAIN,
            Rule.ACKNOWLEDGED_IS_DURABLE,
            Rule.PROGRESS),
    REFUSES_BY_HEARSAY(1, PlantedServiceFaults.RefusesByHearsay::new, Rule.REJECTED_IS_FINAL),
    FORGETS_DIGESTS(1, PlantedRegisterFaults.ForgetsDigests::new, Rule.COMMITTED_CHAIN, Rule.REJECTED_IS_FINAL),
    REMOVED_STILL_COUNTS(1, PlantedRegisterFaults.RemovedStillCounts::new, Rule.PROGRESS, Rule.TIMELY_ANSWER),
    OLD_PROMISES(1, PlantedRegisterFaults.OldPromises::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    REFUSALS_COUNT(1, PlantedRegisterFaults.RefusalsCount::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    ACCEPTED_IS_CHOSEN(1, PlantedRegisterFaults.AcceptedIsChosen::new, Rule.COMMITTED_CHAIN),
    ONE_VOTE_FOR_ALL(1, PlantedRegisterFaults.OneVoteForAll::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    SNAPSHOT_NOT_SYNCED(
            10,
            PlantedDiskFaults.SnapshotNotSynced::new,
            Rule.COMMITTED_CHAIN,
            Rule.ACKNOWLEDGED_IS_DURABLE,
            Rule.PROGRESS),
    SNAPSHOT_WITHOUT_LAST_CHANGE(
            1, PlantedDiskFaults.SnapshotWithoutLastChange::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    LOSES_LAST_RECORD(1, PlantedDiskFaults.LosesLastRecord::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    TELLS_UNDECIDED(1, PlantedServiceFaults.TellsUndecided::new, Rule.ROUTER_APPLIES_COMMITTED),
    SWALLOWS_DRAINS(1, PlantedServiceFaults.SwallowsDrains::new, Rule.DRAIN_IN_TIME),
    SWALLOWS_LEAVES(1, PlantedServiceFaults.SwallowsLeaves::new, Rule.DRAIN_IN_TIME),
    ACKNOWLEDGES_EARLY(1, PlantedServiceFaults.AcknowledgesEarly::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    ACKNOWLEDGES_BEFORE_ROUTERS(1, PlantedServiceFaults.AcknowledgesBeforeRouters::new, Rule.ROUTERS_NOTIFIED_FIRST),
    READS_ALONE(1, PlantedServiceFaults.ReadsAlone::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    KNOWS_OF_NOTHING(1, PlantedServiceFaults.KnowsOfNothing::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    IGNORES_BASE(1, PlantedServiceFaults.IgnoresBase::new, Rule.ONE_CHANGE_PER_BASE),
    SWALLOWS_WEIGHTS(1, PlantedServiceFaults.SwallowsWeights::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    UNCLEAR_IS_REFUSED(1, PlantedServiceFaults.UnclearIsRefused::new, Rule.REJECTED_IS_FINAL),
    SHORT_LEASE(1, PlantedLeaseFaults.ShortLease::new, Rule.ONE_LEASE_HOLDER),
    UNEVEN_LEASES(1, PlantedLeaseFaults.UnevenLeases::new, Rule.ONE_LEASE_HOLDER),
    DOUBLED_ORDERS(1, PlantedLeaseFaults.DoubledOrders::new, Rule.NO_DUPLICATE_ORDER),
    ONE_TOKEN(1, PlantedLeaseFaults.OneToken::new, Rule.ONE_LEASE_HOLDER),
    TAKES_OLDER(1, PlantedRouterFaults.TakesOlder::new, Rule.ROUTER_VERSION_RISES),
    SILENCE_IS_THE_END(1, PlantedRouterFaults.SilenceIsTheEnd::new, Rule.LIVE_INSTANCE_LISTED),
    LOSES_INSTANCES(1, PlantedRouterFaults.LosesInstances::new, Rule.DRAIN_IN_TIME, Rule.LIVE_INSTANCE_LISTED);

    private final long firstSeed;
    private final Supplier<ComponentOverrides> overrides;
    private final Set<Rule> rules;

    /**
     * A fault.
     *
     * @param firstSeed the seed at which its test starts: near one that finds the fault, where the first such seed is
     *     far from 1
     */
    PlantedFault(long firstSeed, Supplier<ComponentOverrides> overrides, Rule... rules) {
        this.firstSeed = firstSeed;
        this.overrides = overrides;
        this.rules = Set.of(rules);
    }

    long firstSeed() {
        return firstSeed;
    }

    /** Plants the fault for one run. */
    public ComponentOverrides plant() {
        return overrides.get();
    }

    /** Rules of which the fault violates at least one. */
    Set<Rule> rules() {
        return rules;
    }
}
