package burlarch.review;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Runs one case on a deployment of its own. The exit status is 0 if the rule held, {@value #BROKEN} if it was broken, and
 * another one if the case couldn't run. The variable {@code TROUBLE} with the value 0 leaves the disruption out.
 */
final class CaseRunner {
    private static final int HELD = 0;
    /** Not 1, with which a virtual machine ends that fails; the scripts translate it. */
    private static final int BROKEN = 10;

    private static final int NOT_RUN = 2;
    private static final int EDGE_MACHINES = 2;

    /** Whether the disruption takes place. */
    enum Trouble {
        ON,
        OFF
    }

    /** What a case needs. */
    record Context(Deployment deployment, LoopbackSubnet subnet, Record record, Trouble trouble) {
        boolean hasTrouble() {
            return trouble == Trouble.ON;
        }
    }

    /** One case. */
    interface Case {
        /** Returns whether the rule held. */
        boolean holds(Context context) throws Exception;
    }

    private CaseRunner() {}

    /**
     * Runs a case and ends this process with its exit status.
     *
     * @param arguments the repository and the file of the record
     */
    static void run(String[] arguments, Case toRun) {
        Path repository = Path.of(arguments[0]).toAbsolutePath().normalize();
        Trouble trouble = "0".equals(System.getenv("TROUBLE")) ? Trouble.OFF : Trouble.ON;
        int status = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                LoopbackSubnet subnet = LoopbackSubnet.reserve();
                Deployment deployment = new Deployment(repository, subnet, EDGE_MACHINES, record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> close(deployment)));
            status = judge(toRun, new Context(deployment, subnet, record, trouble));
        } catch (Exception failure) {
            System.err.println("the case could not run: " + failure);
        }
        System.exit(status);
    }

    private static int judge(Case toRun, Context context) throws Exception {
        boolean held = toRun.holds(context);
        String verdict = held ? "the rule held" : "the rule was broken";
        context.record().add(verdict + (context.hasTrouble() ? "" : " (without the disruption)"));
        System.out.println(verdict);
        return held ? HELD : BROKEN;
    }

    /** Ends what this run started, also if the run itself is interrupted. */
    private static void close(Deployment deployment) {
        try {
            deployment.close();
        } catch (IOException failure) {
            System.err.println("the temporary folder is not removed: " + failure);
        }
    }
}
