package burlarch.node;

/** What a process does between SIGTERM and its end. */
public final class ShutdownHook {
    private ShutdownHook() {}

    /** Runs the task when the process is told to end; the process ends when the task has. */
    public static void onSignal(Runnable task) {
        Runtime.getRuntime().addShutdownHook(new Thread(task, "shutdown"));
    }
}
