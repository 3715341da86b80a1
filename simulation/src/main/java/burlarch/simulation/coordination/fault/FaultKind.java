package burlarch.simulation.coordination.fault;

import java.util.List;
import java.util.stream.Stream;

/**
 * The kinds of faults that the search draws, with the steps that each consists of. A constant and its label bear the
 * name that the bench gives to the kind; labels in brackets are kinds of the search alone.
 *
 * <p>The order of the constants, and of the draws in each, decides which scenario belongs to a seed.
 */
enum FaultKind {
    CORE_CUT(
            "core_cut",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, steps.anyController())),
    CORE_CUT_ALL(
            "core_cut all",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partition(at, length, steps.anyController(), "from", "others")),
    CORE_CUT_NEAR(
            "core_cut near", Loss.ONE_CONTROLLER, (steps, at, length) -> steps.partitionFromOtherZones(at, length)),
    CORE_CUT_OLDEST(
            "core_cut oldest",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, "@oldest")),
    CORE_CUT_ONE_WAY("core_cut one_way", Loss.ONE_CONTROLLER, (steps, at, length) -> steps.partitionOneWay(at, length)),
    CORE_CUT_SEEDS("core_cut seeds", Loss.ONE_CONTROLLER, (steps, at, length) -> steps.partitionFirstSeed(at, length)),
    CORE_CUT_BOTH(
            "core_cut both", Loss.ALL_CONTROLLERS, (steps, at, length) -> steps.partitionThenRestartAll(at, length)),
    CORE_CUT_LURE("core_cut lure", Loss.ONE_CONTROLLER, (steps, at, length) -> steps.partitionPreferred(at, length)),
    CORE_CUT_LEADER(
            "core_cut leader",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, "@leader")),
    CORE_CUT_READER(
            "core_cut reader",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, "@reader")),
    CORE_CUT_SEED(
            "core_cut seed",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, "@seed")),
    CORE_CUT_RESET("core_cut reset", Loss.ONE_CONTROLLER, (steps, at, length) -> steps.resetThenPartition(at, length)),
    CORE_CUT_TURN(
            "core_cut turn",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.partitionController(at, length, steps.nextController())),
    HALVES("(halves)", Loss.ALL_CONTROLLERS, (steps, at, length) -> steps.split(at, length, "from")),
    HALVES_ONE_WAY("(halves, one way)", Loss.ALL_CONTROLLERS, (steps, at, length) -> steps.split(at, length, "to")),
    NODE_CUT(
            "node_cut",
            Loss.NONE,
            (steps, at, length) -> steps.partition(at, length, steps.router(), "from", "core-*")),
    NODE_CUT_ONE(
            "(router and one controller)",
            Loss.NONE,
            (steps, at, length) ->
                    steps.partition(at, length, steps.router(), steps.anyDirection(), steps.anyController())),
    NODE_CUT_ALL(
            "node_cut all",
            Loss.NONE,
            (steps, at, length) -> steps.partition(at, length, steps.router(), "from", "others")),
    NODE_CUT_SERVERS(
            "node_cut servers",
            Loss.NONE,
            (steps, at, length) -> steps.partition(at, length, steps.instance(), "from", "others")),
    SRV_CUT(
            "srv_cut",
            Loss.NONE,
            (steps, at, length) -> steps.partition(at, length, steps.instance(), "from", "core-*")),
    SRV_CUT_ONE_WAY(
            "srv_cut one_way",
            Loss.NONE,
            (steps, at, length) -> steps.partition(at, length, steps.instance(), "to", "core-*")),
    FREEZE_CORE(
            "node_freeze (core)",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "freeze " + steps.anyController())),
    FREEZE_LEADER(
            "node_freeze leader",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "freeze @leader")),
    FREEZE_ROUTER(
            "node_freeze", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "freeze " + steps.router())),
    SLOW_CORE(
            "node_slow (core)",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "slow " + steps.anyController())),
    KILL_CORE(
            "node_kill (core)",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "kill " + steps.anyController())),
    KILL_LEADER(
            "node_kill leader",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "kill @leader")),
    POWER_CORE(
            "node_kill power (core)",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "power " + steps.anyController())),
    KILL_ROUTER("node_kill", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "kill " + steps.router())),
    ROLL_TERM(
            "roll_term (core)",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "term " + steps.anyController())),
    ROLL_TERM_TURN("roll_term (all of the core)", Loss.ALL_CONTROLLERS, (steps, at, length) -> steps.restartInTurn(at)),
    ROLL_TERM_BUSY(
            "roll_term busy",
            Loss.ONE_CONTROLLER,
            (steps, at, length) ->
                    steps.addLasting(at, length, "when call " + steps.drawFigure(0.03) + " term @leader")),
    ROLL_TERM_ROUTERS(
            "roll_term", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "term " + steps.router())),
    HERD_KILL(
            "herd_kill on core",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(at, steps.drawMassFailureSeconds(), "kill core-*")),
    HERD_POWER(
            "herd_kill power on core",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(at, steps.drawMassFailureSeconds(), "power core-*")),
    HERD_TAKEN(
            "herd_kill taken",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(
                    at, steps.drawMassFailureSeconds(), "when taken " + steps.drawFigure(0.01) + " power core-*")),
    HERD_ALL(
            "herd_kill taken all",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(
                    at, steps.drawMassFailureSeconds(), "when taken 0 power core-*,router-*,engine-*,server-*")),
    AFTER_ACK_WIPE(
            "after_ack_wipe",
            Loss.ONE_DISK,
            (steps, at, length) -> steps.addLasting(at, length, "when acknowledged 0 wipe @leader")),
    AFTER_ACK_WIPE_OLDEST(
            "after_ack_wipe oldest",
            Loss.ONE_DISK,
            (steps, at, length) -> steps.addLasting(at, length, "when acknowledged 0 wipe @oldest")),
    AFTER_ACK_KILL(
            "after_ack_kill",
            Loss.ONE_CONTROLLER,
            (steps, at, length) ->
                    steps.addLasting(at, length, "when answered " + steps.drawFigure(0.004) + " power @leader")),
    AFTER_ACK_KILL_KILL(
            "after_ack_kill kill",
            Loss.ONE_CONTROLLER,
            (steps, at, length) ->
                    steps.addLasting(at, length, "when answered " + steps.drawFigure(0.004) + " kill @leader")),
    AFTER_ACK_KILL_TIMED(
            "after_ack_kill timed",
            Loss.ONE_CONTROLLER,
            (steps, at, length) ->
                    steps.addLasting(at, length, "when sent " + steps.drawFigure(0.4) + " power @leader")),
    AFTER_ACK_KILL_TAKEN(
            "after_ack_kill taken",
            Loss.ONE_CONTROLLER,
            (steps, at, length) ->
                    steps.addLasting(at, length, "when taken " + steps.drawFigure(0.01) + " power @leader")),
    WIPE("(wipe)", Loss.ONE_DISK, (steps, at, length) -> steps.addLasting(at, length, "wipe " + steps.anyController())),
    REPLACE("replace_core", Loss.ONE_DISK, (steps, at, length) -> steps.replace(at, "replace", steps.anyController())),
    REPLACE_OLDEST(
            "replace_core oldest", Loss.ONE_DISK, (steps, at, length) -> steps.replace(at, "replace", "@oldest")),
    REPLACE_PLANNED(
            "replace_core planned",
            Loss.ONE_DISK,
            (steps, at, length) -> steps.replace(at, "exchange", steps.anyController())),
    REPLACE_PLANNED_OLDEST(
            "replace_core planned oldest",
            Loss.ONE_DISK,
            (steps, at, length) -> steps.replace(at, "exchange", "@oldest")),
    NEWEST_GONE(
            "(those that hold the newest go)",
            Loss.MAJORITY_AND_DISK,
            (steps, at, length) -> steps.loseNewestHolders(at, length)),
    SEED_TURNOVER(
            "seed_turnover",
            Loss.NONE,
            (steps, at, length) -> steps.add(at, "seeds " + steps.anyController() + "," + steps.anyController())),
    DISK_FULL(
            "disk_full",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "disk-full " + steps.anyController())),
    DISK_STALL(
            "disk_stall",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "disk-stall " + steps.anyController())),
    DISK_SLOW(
            "disk_slow",
            Loss.ONE_CONTROLLER,
            (steps, at, length) -> steps.addLasting(at, length, "disk-slow " + steps.anyController() + " 30")),
    CLOCK_STEP(
            "clock_step",
            Loss.NONE,
            (steps, at, length) -> steps.addLasting(
                    at,
                    length,
                    "clock @leader," + steps.anyController() + "," + steps.router()
                            + (steps.drawBoolean() ? " 2.4" : " -2.4"))),
    CONFIG_CHANGE(
            "config_change", Loss.NONE, (steps, at, length) -> steps.add(at, "call put " + steps.anyController())),
    CONFIG_RACE("config_race", Loss.NONE, (steps, at, length) -> steps.addRepeated(at, 3, 1.0, "call race any")),
    CONFIG_STORM("config_storm", Loss.NONE, (steps, at, length) -> steps.addRepeated(at, 12, 0.1, "call put any")),
    MEET("(any) meet", Loss.NONE, (steps, at, length) -> steps.callAtEarlierFault("call put ", "")),
    RACE("(any) race", Loss.NONE, (steps, at, length) -> steps.callAtEarlierFault("call race ", "")),
    HARD("(any) meet hard", Loss.NONE, (steps, at, length) -> steps.callAtEarlierFault("call put ", " hard")),
    DRAIN("(any) drain", Loss.NONE, (steps, at, length) -> steps.drainAfterEarlierFault()),
    BAD_CONFIG("bad_config", Loss.NONE, (steps, at, length) -> steps.addRepeated(at, 3, 0.5, "call invalid any")),
    BIG_CONFIG("big_config", Loss.NONE, (steps, at, length) -> steps.add(at, "call large any")),
    ACK_LOST("ack_lost", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "lose-answers 0.6")),
    HUP("hup", Loss.NONE, (steps, at, length) -> steps.add(at, "hup core-*,router-*")),
    RESET_CONNS(
            "reset_conns",
            Loss.NONE,
            (steps, at, length) ->
                    steps.add(at, "break " + (steps.drawBoolean() ? steps.router() : steps.anyController()) + " 0.5")),
    SRV_CRASH("srv_crash", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "kill " + steps.instance())),
    RELEASE("release", Loss.NONE, (steps, at, length) -> steps.add(at, "drain engine-*,server-*")),
    VERSION_BUMP("version_bump", Loss.NONE, (steps, at, length) -> steps.add(at, "call weights any")),
    LOSS(
            "(loss)",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(at, length, "loss " + steps.drawFigure(0.5))),
    DELAY(
            "(delay)",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(at, length, "delay 0.01 " + steps.drawFigure(0.02, 0.32))),
    HELD_UP_ORDERS("(held-up orders, version_bump)", Loss.NONE, (steps, at, length) -> steps.holdUpOrders(at, length)),
    HELD_UP_ANNOUNCEMENTS(
            "(held-up announcements)",
            Loss.NONE,
            (steps, at, length) -> steps.holdUp(at, length, steps.instance(), "core-*")),
    LATE_COPIES(
            "(late copies)",
            Loss.NONE,
            (steps, at, length) -> steps.addLasting(at, length, "late-copies " + steps.drawFigure(0.1, 0.5))),
    RESTART_AFTER_DEPARTURES(
            "(late heartbeats, all restart)",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.restartAllAfterDepartures(at)),
    DUPLICATES("(duplicates)", Loss.NONE, (steps, at, length) -> steps.addLasting(at, length, "duplicate 0.2")),
    QUOTA(
            "(processor quota of all)",
            Loss.ALL_CONTROLLERS,
            (steps, at, length) -> steps.addLasting(at, length, "slow core-*,router-*")),
    CLOSING_POWER(
            "closing power_off_all", Loss.CLOSING, (steps, at, length) -> steps.addClosing(at, "", "power core-*")),
    CLOSING_KILL("closing kill_all", Loss.CLOSING, (steps, at, length) -> steps.addClosing(at, "", "kill core-*")),
    CLOSING_POWER_TIMED(
            "closing power_off_all timed",
            Loss.CLOSING,
            (steps, at, length) -> steps.addClosing(at, "when sent " + steps.drawFigure(0.4) + " ", "power core-*")),
    CLOSING_POWER_TAKEN(
            "closing power_off_all taken",
            Loss.CLOSING,
            (steps, at, length) -> steps.addClosing(at, "when taken " + steps.drawFigure(0.01) + " ", "power core-*")),
    CLOSING_WIPE(
            "closing wipe_after_ack",
            Loss.CLOSING_DISK,
            (steps, at, length) ->
                    steps.addClosing(at, "when acknowledged 0 ", "wipe " + steps.controllersLosingDisks("@leader"))),
    CLOSING_WIPE_OLDEST(
            "closing wipe_after_ack oldest",
            Loss.CLOSING_DISK,
            (steps, at, length) ->
                    steps.addClosing(at, "when acknowledged 0 ", "wipe " + steps.controllersLosingDisks("@oldest"))),
    CLOSING_WIPE_POWER(
            "closing wipe_after_ack, power",
            Loss.CLOSING_DISK,
            (steps, at, length) -> steps.addClosing(
                    at, "when acknowledged 0 ", "power core-*", "wipe " + steps.controllersLosingDisks("@leader"))),
    CLOSING_WIPE_OLDEST_POWER(
            "closing wipe_after_ack oldest, power",
            Loss.CLOSING_DISK,
            (steps, at, length) -> steps.addClosing(
                    at, "when acknowledged 0 ", "power core-*", "wipe " + steps.controllersLosingDisks("@oldest"))),
    CLOSING_WIPE_TAKEN(
            "closing wipe_after_ack taken, power",
            Loss.CLOSING_DISK,
            (steps, at, length) -> steps.addClosing(
                    at, "when taken 0 ", "power core-*", "wipe " + steps.controllersLosingDisks("@leader"))),
    CLOSING_WIPE_POWER_ALL(
            "closing wipe_after_ack, power of all machines",
            Loss.CLOSING_DISK,
            (steps, at, length) -> steps.addClosing(
                    at,
                    "when acknowledged 0 ",
                    "power core-*,router-*",
                    "wipe " + steps.controllersLosingDisks("@oldest")));

    /** What a fault costs of the losses that the deployment tolerates. */
    enum Loss {
        /** No controller. */
        NONE,
        /** One controller for a time. */
        ONE_CONTROLLER,
        /** One controller, and its disk. */
        ONE_DISK,
        /** All controllers for a time, and no disk. */
        ALL_CONTROLLERS,
        /** More controllers than are tolerated for a time, and one disk. */
        MAJORITY_AND_DISK,
        /** All controllers at the end of the run, and no disk. */
        CLOSING,
        /** At the end of the run as many disks as are tolerated. */
        CLOSING_DISK
    }

    /** Writes the steps of a fault; times in seconds. */
    private interface Steps {
        void write(FaultStepWriter steps, double at, double length);
    }

    private final String label;
    private final Loss loss;
    private final Steps steps;

    FaultKind(String label, Loss loss, Steps steps) {
        this.label = label;
        this.loss = loss;
        this.steps = steps;
    }

    /** Name in the table of pairs. */
    String label() {
        return label;
    }

    Loss loss() {
        return loss;
    }

    boolean isClosing() {
        return loss == Loss.CLOSING || loss == Loss.CLOSING_DISK;
    }

    boolean losesDisk() {
        return loss == Loss.ONE_DISK || loss == Loss.MAJORITY_AND_DISK || loss == Loss.CLOSING_DISK;
    }

    /** Whether a spare controller takes the place of one that is retired. */
    boolean replacesController() {
        return this == REPLACE || this == REPLACE_OLDEST || this == REPLACE_PLANNED || this == REPLACE_PLANNED_OLDEST;
    }

    boolean partitionsController() {
        return name().startsWith("CORE_CUT");
    }

    /** Writes the steps of one fault of this kind, which begins at a time and lasts for a length, in seconds. */
    void write(FaultStepWriter to, double at, double length) {
        steps.write(to, at, length);
    }

    /** Kinds that may occur at any time. */
    static List<FaultKind> ordinary() {
        return Stream.of(values()).filter(kind -> !kind.isClosing()).toList();
    }

    /** Kinds that occur at the end of a run. */
    static List<FaultKind> closing() {
        return Stream.of(values()).filter(FaultKind::isClosing).toList();
    }
}
