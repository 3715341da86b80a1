package burlarch.node;

/** Runs a task between SIGTERM and the end of the process. */
public final class ShutdownHook {
    private ShutdownHook() {}

    /** Registers a task that runs on SIGTERM, on a thread of its own; the process ends when the task has ended. */
    public static void onSignal(Runnable task) {
        Runtime.getRuntime().addShutdownHook(new Thread(task, "shutdown"));
    }
}
