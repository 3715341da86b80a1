package burlarch.simulation.coordination.planted;

import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.node.ComponentOverrides;
import java.util.Set;
import java.util.function.Supplier;

/** Planted faults that the scenario search must find. A fault counts as found when one of its rules is violated. */
public enum PlantedFault {
    REPLIES_BEFORE_SYNC(
            1, PlantedRegisterFaults.RepliesBeforeSync::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    KEEPS_IDENTITY(
            1, PlantedRegisterFaults.ErasedDiskKeepsIdentity::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    SHARES_IDENTITY(
            1,
            PlantedRegisterFaults.EmptyDisksShareIdentity::new,
            Rule.COMMITTED_CHAIN,
            Rule.ACKNOWLEDGED_IS_DURABLE,
            Rule.PROGRESS),
    REFUSES_BY_HEARSAY(1, PlantedServiceFaults.RejectsByLocalState::new, Rule.REJECTED_IS_FINAL),
    FORGETS_DIGESTS(1, PlantedRegisterFaults.ForgetsAppliedChanges::new, Rule.COMMITTED_CHAIN, Rule.REJECTED_IS_FINAL),
    REMOVED_STILL_COUNTS(1, PlantedRegisterFaults.RemovedAcceptorKeepsVote::new, Rule.PROGRESS, Rule.TIMELY_ANSWER),
    OLD_PROMISES(1, PlantedRegisterFaults.SendsStalePromises::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    REFUSALS_COUNT(
            1, PlantedRegisterFaults.CountsRejectionAsVote::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    ACCEPTED_IS_CHOSEN(1, PlantedRegisterFaults.TreatsAcceptRequestAsCommitted::new, Rule.COMMITTED_CHAIN),
    ONE_VOTE_FOR_ALL(
            1,
            PlantedRegisterFaults.CountsVoteForAllAcceptors::new,
            Rule.COMMITTED_CHAIN,
            Rule.ACKNOWLEDGED_IS_DURABLE),
    SNAPSHOT_NOT_SYNCED(
            10,
            PlantedDiskFaults.SnapshotNotSynced::new,
            Rule.COMMITTED_CHAIN,
            Rule.ACKNOWLEDGED_IS_DURABLE,
            Rule.PROGRESS),
    SNAPSHOT_WITHOUT_LAST_CHANGE(
            1, PlantedDiskFaults.SnapshotWithoutLastChange::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    LOSES_LAST_RECORD(1, PlantedDiskFaults.LosesLastRecord::new, Rule.COMMITTED_CHAIN, Rule.ACKNOWLEDGED_IS_DURABLE),
    TELLS_UNDECIDED(1, PlantedServiceFaults.SendsUncommittedConfiguration::new, Rule.ROUTER_APPLIES_COMMITTED),
    SWALLOWS_DRAINS(1, PlantedServiceFaults.DropsDrains::new, Rule.DRAIN_IN_TIME),
    SWALLOWS_LEAVES(1, PlantedServiceFaults.DropsLeaves::new, Rule.DRAIN_IN_TIME),
    ACKNOWLEDGES_EARLY(1, PlantedServiceFaults.AcknowledgesBeforeCommit::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    ACKNOWLEDGES_BEFORE_ROUTERS(
            1, PlantedServiceFaults.AcknowledgesBeforeRoutersApply::new, Rule.ROUTERS_NOTIFIED_FIRST),
    READS_ALONE(1, PlantedServiceFaults.ReadsLocalState::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    KNOWS_OF_NOTHING(1, PlantedServiceFaults.ReportsNotFoundByLocalState::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    IGNORES_BASE(1, PlantedServiceFaults.IgnoresBaseVersion::new, Rule.ONE_CHANGE_PER_BASE),
    SWALLOWS_WEIGHTS(1, PlantedServiceFaults.DropsWeights::new, Rule.ACKNOWLEDGED_IS_DURABLE),
    UNCLEAR_IS_REFUSED(1, PlantedServiceFaults.ReportsUnclearAsRejected::new, Rule.REJECTED_IS_FINAL),
    SHORT_LEASE(1, PlantedLeaseFaults.ShortenedLeaseWait::new, Rule.ONE_LEASE_HOLDER),
    UNEVEN_LEASES(1, PlantedLeaseFaults.DifferentLeaseDurations::new, Rule.ONE_LEASE_HOLDER),
    FORGETS_DEPARTURES(1, PlantedRegisterFaults.ForgetsDepartures::new, Rule.ENDED_INSTANCE_REMOVED),
    ORDERS_ANY_REVISION(500, PlantedLeaseFaults.OrdersAnyRevision::new, Rule.NEWER_WEIGHTS_KEPT),
    DOUBLED_ORDERS(1, PlantedLeaseFaults.SendsOrdersTwice::new, Rule.NO_DUPLICATE_ORDER),
    ONE_TOKEN(1, PlantedLeaseFaults.ConstantFencingToken::new, Rule.ONE_LEASE_HOLDER),
    TAKES_OLDER(1, PlantedRouterFaults.ReappliesPreviousConfiguration::new, Rule.ROUTER_VERSION_RISES),
    SILENCE_IS_THE_END(1, PlantedRouterFaults.TreatsTimeoutAsLeave::new, Rule.LIVE_INSTANCE_LISTED),
    LOSES_INSTANCES(1, PlantedRouterFaults.DropsInstanceUpdates::new, Rule.DRAIN_IN_TIME, Rule.LIVE_INSTANCE_LISTED);

    private final long firstSeed;
    private final Supplier<ComponentOverrides> overrides;
    private final Set<Rule> rules;

    /**
     * Declares a planted fault.
     *
     * @param firstSeed first seed that the test tries: 1, or a seed near one that finds the fault if the first such
     *     seed is far from 1
     */
    PlantedFault(long firstSeed, Supplier<ComponentOverrides> overrides, Rule... rules) {
        this.firstSeed = firstSeed;
        this.overrides = overrides;
        this.rules = Set.of(rules);
    }

    long firstSeed() {
        return firstSeed;
    }

    /** Creates the component overrides that plant this fault in one run. */
    public ComponentOverrides plant() {
        return overrides.get();
    }

    /** Returns the rules of which this fault violates at least one. */
    Set<Rule> rules() {
        return rules;
    }
}
