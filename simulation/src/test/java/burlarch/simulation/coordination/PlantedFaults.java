package burlarch.simulation.coordination;

import java.util.Set;
import java.util.function.Supplier;

/** Faults that the search has to find, each by one of the rules that it breaks. */
enum PlantedFaults {
    REPLIES_BEFORE_SYNC(1, PlantedRegisterFaults.RepliesBeforeSync::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    KEEPS_IDENTITY(1, PlantedRegisterFaults.KeepsIdentity::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    SHARES_IDENTITY(
            1,
            PlantedRegisterFaults.SharesIdentity::new,
            ChosenChainChecker.NAME,
            OperatorChecker.LOST,
            FleetCheckers.STUCK),
    REFUSES_BY_HEARSAY(1, PlantedServiceFaults.RefusesByHearsay::new, OperatorChecker.REFUSED),
    FORGETS_DIGESTS(1, PlantedRegisterFaults.ForgetsDigests::new, ChosenChainChecker.NAME, OperatorChecker.REFUSED),
    REMOVED_STILL_COUNTS(1, PlantedRegisterFaults.RemovedStillCounts::new, FleetCheckers.STUCK, OperatorChecker.SLOW),
    OLD_PROMISES(1, PlantedRegisterFaults.OldPromises::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    REFUSALS_COUNT(1, PlantedRegisterFaults.RefusalsCount::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    ACCEPTED_IS_CHOSEN(1, PlantedRegisterFaults.AcceptedIsChosen::new, ChosenChainChecker.NAME),
    ONE_VOTE_FOR_ALL(1, PlantedRegisterFaults.OneVoteForAll::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    SNAPSHOT_NOT_SYNCED(
            10,
            PlantedDiskFaults.SnapshotNotSynced::new,
            ChosenChainChecker.NAME,
            OperatorChecker.LOST,
            FleetCheckers.STUCK),
    SNAPSHOT_WITHOUT_LAST_CHANGE(
            1, PlantedDiskFaults.SnapshotWithoutLastChange::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    LOSES_LAST_RECORD(1, PlantedDiskFaults.LosesLastRecord::new, ChosenChainChecker.NAME, OperatorChecker.LOST),
    TELLS_UNDECIDED(1, PlantedServiceFaults.TellsUndecided::new, RouterChecker.UNDECIDED),
    SWALLOWS_DRAINS(1, PlantedServiceFaults.SwallowsDrains::new, RouterChecker.DRAIN),
    SWALLOWS_LEAVES(1, PlantedServiceFaults.SwallowsLeaves::new, RouterChecker.DRAIN),
    ACKNOWLEDGES_EARLY(1, PlantedServiceFaults.AcknowledgesEarly::new, OperatorChecker.LOST),
    ACKNOWLEDGES_BEFORE_ROUTERS(1, PlantedServiceFaults.AcknowledgesBeforeRouters::new, RouterChecker.TOLD),
    READS_ALONE(1, PlantedServiceFaults.ReadsAlone::new, OperatorChecker.LOST),
    KNOWS_OF_NOTHING(1, PlantedServiceFaults.KnowsOfNothing::new, OperatorChecker.LOST),
    IGNORES_BASE(1, PlantedServiceFaults.IgnoresBase::new, OperatorChecker.RACE),
    SWALLOWS_WEIGHTS(1, PlantedServiceFaults.SwallowsWeights::new, OperatorChecker.LOST),
    UNCLEAR_IS_REFUSED(1, PlantedServiceFaults.UnclearIsRefused::new, OperatorChecker.REFUSED),
    SHORT_LEASE(1, PlantedOwnerFaults.ShortLease::new, EngineOrderChecker.NAME),
    UNEVEN_LEASES(1, PlantedOwnerFaults.UnevenLeases::new, EngineOrderChecker.NAME),
    DOUBLED_ORDERS(1, PlantedOwnerFaults.DoubledOrders::new, EngineOrderChecker.TWICE),
    ONE_TOKEN(1, PlantedOwnerFaults.OneToken::new, EngineOrderChecker.NAME),
    TAKES_OLDER(1, PlantedStreamFaults.TakesOlder::new, RouterChecker.BACK),
    SILENCE_IS_THE_END(1, PlantedStreamFaults.SilenceIsTheEnd::new, InstanceChecker.MISSING),
    LOSES_INSTANCES(1, PlantedStreamFaults.LosesInstances::new, RouterChecker.DRAIN, InstanceChecker.MISSING);

    private final long firstSeed;
    private final Supplier<ComponentOverrides> doubles;
    private final Set<String> rules;

    /**
     * A fault.
     *
     * @param firstSeed where its test begins; for those that take many from 1, nearer to one that finds it
     */
    PlantedFaults(long firstSeed, Supplier<ComponentOverrides> doubles, String... rules) {
        this.firstSeed = firstSeed;
        this.doubles = doubles;
        this.rules = Set.of(rules);
    }

    long firstSeed() {
        return firstSeed;
    }

    /** The fault, planted anew for one run. */
    ComponentOverrides plant() {
        return doubles.get();
    }

    /** Rules of which one is broken by it. */
    Set<String> rules() {
        return rules;
    }
}
