package burlarch.emulator.demo;

/** The faults and changes that a soak draws. */
enum SoakFault {
    /** SIGTERM of a router, which starts again when it has ended. */
    TERMINATE_ROUTER(Target.ROUTER),
    /** SIGTERM of all routers, one shortly after the other; each starts again when it has ended. */
    TERMINATE_ROUTERS_IN_TURN(Target.NONE),
    /** SIGKILL of a router, which starts again soon. */
    KILL_ROUTER(Target.ROUTER),
    /** SIGSTOP of a router, and SIGCONT. */
    PAUSE_ROUTER(Target.ROUTER),
    /** SIGHUP of a router. */
    RELOAD_ROUTER(Target.ROUTER),
    /** SIGTERM of a controller, which starts again when it has ended. */
    TERMINATE_CONTROLLER(Target.CONTROLLER),
    /** SIGKILL of a controller, which starts again soon. */
    KILL_CONTROLLER(Target.CONTROLLER),
    /** SIGSTOP of a controller, and SIGCONT. */
    PAUSE_CONTROLLER(Target.CONTROLLER),
    /** SIGKILL of all routers and controllers at once; all start again soon. */
    KILL_ALL(Target.NONE),
    /** A change of the configuration. */
    CHANGE_CONFIGURATION(Target.NONE),
    /** A newer version of the weights. */
    NAME_WEIGHTS(Target.NONE),
    /** Replacement of an engine, which drains; a heartbeat that it sent before arrives late. */
    REPLACE_ENGINE(Target.NONE),
    /** Replacement of a plain instance, which leaves without draining; a heartbeat that it sent before arrives late. */
    REPLACE_PLAIN_INSTANCE(Target.NONE);

    /** What a fault strikes. */
    enum Target {
        ROUTER,
        CONTROLLER,
        NONE
    }

    private final Target target;

    SoakFault(Target target) {
        this.target = target;
    }

    /** Whether an instance ends, of which a heartbeat arrives late. */
    boolean endsInstance() {
        return this == REPLACE_ENGINE || this == REPLACE_PLAIN_INSTANCE;
    }

    Target target() {
        return target;
    }
}
