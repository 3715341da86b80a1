package burlarch.node;

/** Shutdown hook of the JVM: runs a task between SIGTERM and the end of the process. */
public final class ShutdownHook {
    private ShutdownHook() {}

    /** Registers a task to run on SIGTERM, on a thread of its own; the process ends after the task has returned. */
    public static void onSignal(Runnable task) {
        Runtime.getRuntime().addShutdownHook(new Thread(task, "shutdown"));
    }
}
