package burlarch.simulation.coordination;

import java.util.List;
import java.util.stream.Stream;

/**
 * The kinds of trouble that the search draws, each named as the bench names its counterpart; those in
 * brackets are the search's own.
 */
enum FaultKind {
    CORE_CUT("core_cut", Loss.ONE, (t, at, d) -> t.cutController(at, d, t.anyCore())),
    CORE_CUT_ALL("core_cut all", Loss.ONE, (t, at, d) -> t.cut(at, d, t.anyCore(), "from", "others")),
    CORE_CUT_NEAR("core_cut near", Loss.ONE, (t, at, d) -> t.cutNear(at, d)),
    CORE_CUT_OLDEST("core_cut oldest", Loss.ONE, (t, at, d) -> t.cutController(at, d, "@oldest")),
    CORE_CUT_ONE_WAY("core_cut one_way", Loss.ONE, (t, at, d) -> t.cutOneWay(at, d)),
    CORE_CUT_SEEDS("core_cut seeds", Loss.ONE, (t, at, d) -> t.cutSeeds(at, d)),
    CORE_CUT_BOTH("core_cut both", Loss.ALL, (t, at, d) -> t.cutBoth(at, d)),
    CORE_CUT_LURE("core_cut lure", Loss.ONE, (t, at, d) -> t.cutLure(at, d)),
    CORE_CUT_LEADER("core_cut leader", Loss.ONE, (t, at, d) -> t.cutController(at, d, "@leader")),
    CORE_CUT_READER("core_cut reader", Loss.ONE, (t, at, d) -> t.cutController(at, d, "@reader")),
    CORE_CUT_SEED("core_cut seed", Loss.ONE, (t, at, d) -> t.cutController(at, d, "@seed")),
    CORE_CUT_RESET("core_cut reset", Loss.ONE, (t, at, d) -> t.cutReset(at, d)),
    CORE_CUT_TURN("core_cut turn", Loss.ONE, (t, at, d) -> t.cutController(at, d, t.coreInTurn())),
    HALVES("(halves)", Loss.ALL, (t, at, d) -> t.cutInTwo(at, d, "from")),
    HALVES_ONE_WAY("(halves, one way)", Loss.ALL, (t, at, d) -> t.cutInTwo(at, d, "to")),
    NODE_CUT("node_cut", Loss.NONE, (t, at, d) -> t.cut(at, d, t.router(), "from", "core-*")),
    NODE_CUT_ONE(
            "(router and one controller)", Loss.NONE, (t, at, d) -> t.cut(at, d, t.router(), t.anyWay(), t.anyCore())),
    NODE_CUT_ALL("node_cut all", Loss.NONE, (t, at, d) -> t.cut(at, d, t.router(), "from", "others")),
    NODE_CUT_SERVERS("node_cut servers", Loss.NONE, (t, at, d) -> t.cut(at, d, t.instance(), "from", "others")),
    SRV_CUT("srv_cut", Loss.NONE, (t, at, d) -> t.cut(at, d, t.instance(), "from", "core-*")),
    SRV_CUT_ONE_WAY("srv_cut one_way", Loss.NONE, (t, at, d) -> t.cut(at, d, t.instance(), "to", "core-*")),
    FREEZE_CORE("node_freeze (core)", Loss.ONE, (t, at, d) -> t.lasting(at, d, "freeze " + t.anyCore())),
    FREEZE_LEADER("node_freeze leader", Loss.ONE, (t, at, d) -> t.lasting(at, d, "freeze @leader")),
    FREEZE_ROUTER("node_freeze", Loss.NONE, (t, at, d) -> t.lasting(at, d, "freeze " + t.router())),
    SLOW_CORE("node_slow (core)", Loss.ONE, (t, at, d) -> t.lasting(at, d, "slow " + t.anyCore())),
    KILL_CORE("node_kill (core)", Loss.ONE, (t, at, d) -> t.lasting(at, d, "kill " + t.anyCore())),
    KILL_LEADER("node_kill leader", Loss.ONE, (t, at, d) -> t.lasting(at, d, "kill @leader")),
    POWER_CORE("node_kill power (core)", Loss.ONE, (t, at, d) -> t.lasting(at, d, "power " + t.anyCore())),
    KILL_ROUTER("node_kill", Loss.NONE, (t, at, d) -> t.lasting(at, d, "kill " + t.router())),
    ROLL_TERM("roll_term (core)", Loss.ONE, (t, at, d) -> t.lasting(at, d, "term " + t.anyCore())),
    ROLL_TERM_TURN("roll_term (all of the core)", Loss.ALL, (t, at, d) -> t.rollAll(at)),
    ROLL_TERM_BUSY(
            "roll_term busy",
            Loss.ONE,
            (t, at, d) -> t.lasting(at, d, "when call " + t.figure(0.03) + " term @leader")),
    ROLL_TERM_ROUTERS("roll_term", Loss.NONE, (t, at, d) -> t.lasting(at, d, "term " + t.router())),
    HERD_KILL("herd_kill on core", Loss.ALL, (t, at, d) -> t.lasting(at, t.herdSeconds(), "kill core-*")),
    HERD_POWER("herd_kill power on core", Loss.ALL, (t, at, d) -> t.lasting(at, t.herdSeconds(), "power core-*")),
    HERD_TAKEN(
            "herd_kill taken",
            Loss.ALL,
            (t, at, d) -> t.lasting(at, t.herdSeconds(), "when taken " + t.figure(0.01) + " power core-*")),
    HERD_ALL(
            "herd_kill taken all",
            Loss.ALL,
            (t, at, d) -> t.lasting(at, t.herdSeconds(), "when taken 0 power core-*,router-*,engine-*,server-*")),
    AFTER_ACK_WIPE("after_ack_wipe", Loss.DISK, (t, at, d) -> t.lasting(at, d, "when acknowledged 0 wipe @leader")),
    AFTER_ACK_WIPE_OLDEST(
            "after_ack_wipe oldest", Loss.DISK, (t, at, d) -> t.lasting(at, d, "when acknowledged 0 wipe @oldest")),
    AFTER_ACK_KILL(
            "after_ack_kill",
            Loss.ONE,
            (t, at, d) -> t.lasting(at, d, "when answered " + t.figure(0.004) + " power @leader")),
    AFTER_ACK_KILL_KILL(
            "after_ack_kill kill",
            Loss.ONE,
            (t, at, d) -> t.lasting(at, d, "when answered " + t.figure(0.004) + " kill @leader")),
    AFTER_ACK_KILL_TIMED(
            "after_ack_kill timed",
            Loss.ONE,
            (t, at, d) -> t.lasting(at, d, "when sent " + t.figure(0.4) + " power @leader")),
    AFTER_ACK_KILL_TAKEN(
            "after_ack_kill taken",
            Loss.ONE,
            (t, at, d) -> t.lasting(at, d, "when taken " + t.figure(0.01) + " power @leader")),
    WIPE("(wipe)", Loss.DISK, (t, at, d) -> t.lasting(at, d, "wipe " + t.anyCore())),
    REPLACE("replace_core", Loss.DISK, (t, at, d) -> t.replace(at, "replace", t.anyCore())),
    REPLACE_OLDEST("replace_core oldest", Loss.DISK, (t, at, d) -> t.replace(at, "replace", "@oldest")),
    REPLACE_PLANNED("replace_core planned", Loss.DISK, (t, at, d) -> t.replace(at, "exchange", t.anyCore())),
    REPLACE_PLANNED_OLDEST(
            "replace_core planned oldest", Loss.DISK, (t, at, d) -> t.replace(at, "exchange", "@oldest")),
    NEWEST_GONE("(those that hold the newest go)", Loss.MANY_AND_DISK, (t, at, d) -> t.newestGone(at, d)),
    SEED_TURNOVER("seed_turnover", Loss.NONE, (t, at, d) -> t.add(at, "seeds " + t.anyCore() + "," + t.anyCore())),
    DISK_FULL("disk_full", Loss.ONE, (t, at, d) -> t.lasting(at, d, "disk-full " + t.anyCore())),
    DISK_STALL("disk_stall", Loss.ONE, (t, at, d) -> t.lasting(at, d, "disk-stall " + t.anyCore())),
    DISK_SLOW("disk_slow", Loss.ONE, (t, at, d) -> t.lasting(at, d, "disk-slow " + t.anyCore() + " 30")),
    CLOCK_STEP(
            "clock_step",
            Loss.NONE,
            (t, at, d) -> t.lasting(
                    at, d, "clock @leader," + t.anyCore() + "," + t.router() + (t.coin() ? " 2.4" : " -2.4"))),
    CONFIG_CHANGE("config_change", Loss.NONE, (t, at, d) -> t.add(at, "call put " + t.anyCore())),
    CONFIG_RACE("config_race", Loss.NONE, (t, at, d) -> t.repeated(at, 3, 1.0, "call race any")),
    CONFIG_STORM("config_storm", Loss.NONE, (t, at, d) -> t.repeated(at, 12, 0.1, "call put any")),
    MEET("(any) meet", Loss.NONE, (t, at, d) -> t.meet("call put ", "")),
    RACE("(any) race", Loss.NONE, (t, at, d) -> t.meet("call race ", "")),
    HARD("(any) meet hard", Loss.NONE, (t, at, d) -> t.meet("call put ", " hard")),
    DRAIN("(any) drain", Loss.NONE, (t, at, d) -> t.drainAfter()),
    BAD_CONFIG("bad_config", Loss.NONE, (t, at, d) -> t.repeated(at, 3, 0.5, "call invalid any")),
    BIG_CONFIG("big_config", Loss.NONE, (t, at, d) -> t.add(at, "call large any")),
    ACK_LOST("ack_lost", Loss.NONE, (t, at, d) -> t.lasting(at, d, "lose-answers 0.6")),
    HUP("hup", Loss.NONE, (t, at, d) -> t.add(at, "hup core-*,router-*")),
    RESET_CONNS(
            "reset_conns",
            Loss.NONE,
            (t, at, d) -> t.add(at, "break " + (t.coin() ? t.router() : t.anyCore()) + " 0.5")),
    SRV_CRASH("srv_crash", Loss.NONE, (t, at, d) -> t.lasting(at, d, "kill " + t.instance())),
    RELEASE("release", Loss.NONE, (t, at, d) -> t.add(at, "drain engine-*,server-*")),
    VERSION_BUMP("version_bump", Loss.NONE, (t, at, d) -> t.add(at, "call weights any")),
    LOSS("(loss)", Loss.ALL, (t, at, d) -> t.lasting(at, d, "loss " + t.figure(0.5))),
    DELAY("(delay)", Loss.ALL, (t, at, d) -> t.lasting(at, d, "delay 0.01 " + t.figure(0.02, 0.32))),
    DUPLICATES("(duplicates)", Loss.NONE, (t, at, d) -> t.lasting(at, d, "duplicate 0.2")),
    CLOSING_POWER("closing power_off_all", Loss.CLOSING, (t, at, d) -> t.closing(at, "", "power core-*")),
    CLOSING_KILL("closing kill_all", Loss.CLOSING, (t, at, d) -> t.closing(at, "", "kill core-*")),
    CLOSING_POWER_TIMED(
            "closing power_off_all timed",
            Loss.CLOSING,
            (t, at, d) -> t.closing(at, "when sent " + t.figure(0.4) + " ", "power core-*")),
    CLOSING_POWER_TAKEN(
            "closing power_off_all taken",
            Loss.CLOSING,
            (t, at, d) -> t.closing(at, "when taken " + t.figure(0.01) + " ", "power core-*")),
    CLOSING_WIPE(
            "closing wipe_after_ack",
            Loss.CLOSING_DISK,
            (t, at, d) -> t.closing(at, "when acknowledged 0 ", "wipe " + t.lostDisks("@leader"))),
    CLOSING_WIPE_OLDEST(
            "closing wipe_after_ack oldest",
            Loss.CLOSING_DISK,
            (t, at, d) -> t.closing(at, "when acknowledged 0 ", "wipe " + t.lostDisks("@oldest"))),
    CLOSING_WIPE_POWER(
            "closing wipe_after_ack, power",
            Loss.CLOSING_DISK,
            (t, at, d) -> t.closing(at, "when acknowledged 0 ", "power core-*", "wipe " + t.lostDisks("@leader"))),
    CLOSING_WIPE_OLDEST_POWER(
            "closing wipe_after_ack oldest, power",
            Loss.CLOSING_DISK,
            (t, at, d) -> t.closing(at, "when acknowledged 0 ", "power core-*", "wipe " + t.lostDisks("@oldest"))),
    CLOSING_WIPE_TAKEN(
            "closing wipe_after_ack taken, power",
            Loss.CLOSING_DISK,
            (t, at, d) -> t.closing(at, "when taken 0 ", "power core-*", "wipe " + t.lostDisks("@leader")));

    /** What a trouble costs of what the deployment bears. */
    enum Loss {
        /** No controller is lost. */
        NONE,
        /** One is lost for a time. */
        ONE,
        /** One is lost, and its disk with it. */
        DISK,
        /** All may be lost for a time, and no disk. */
        ALL,
        /** More than are borne are lost for a time, and one disk. */
        MANY_AND_DISK,
        /** The end of the day: all, and no disk. */
        CLOSING,
        /** The end of the day: as many disks as are borne. */
        CLOSING_DISK
    }

    /** Adds a trouble's steps; times in seconds. */
    private interface Steps {
        void add(FaultStepWriter steps, double at, double length);
    }

    private final String label;
    private final Loss loss;
    private final Steps steps;

    FaultKind(String label, Loss loss, Steps steps) {
        this.label = label;
        this.loss = loss;
        this.steps = steps;
    }

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
        return loss == Loss.DISK || loss == Loss.MANY_AND_DISK || loss == Loss.CLOSING_DISK;
    }

    boolean replaces() {
        return this == REPLACE || this == REPLACE_OLDEST || this == REPLACE_PLANNED || this == REPLACE_PLANNED_OLDEST;
    }

    boolean cutsController() {
        return name().startsWith("CORE_CUT");
    }

    void add(FaultStepWriter to, double at, double length) {
        steps.add(to, at, length);
    }

    /** Those that may come at any time. */
    static List<FaultKind> ordinary() {
        return Stream.of(values()).filter(kind -> !kind.isClosing()).toList();
    }

    /** Those that end a day. */
    static List<FaultKind> closing() {
        return Stream.of(values()).filter(FaultKind::isClosing).toList();
    }
}
