package review;

import java.nio.file.Path;

/** Frame of a case: it runs the case, prints its result, and exits with 0, 1 or 2. */
final class CaseRun {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private CaseRun() {}

    /** The body of a case. */
    interface Body {
        /** Plays the case. Returns whether the rule held. */
        boolean play(EventRecord record, boolean withTrouble) throws Exception;
    }

    /** Runs a case whose folder is the only argument, with the trouble unless {@code TROUBLE} is 0. */
    static void run(String[] arguments, Body body) {
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        int result = NOT_RUN;
        try (EventRecord record = new EventRecord(Path.of(arguments[0]))) {
            record.add("begins, with trouble: %s", withTrouble);
            try {
                result = body.play(record, withTrouble) ? HELD : BROKEN;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
                failure.printStackTrace();
            }
            record.add("ends with %d", result);
        } catch (java.io.IOException failure) {
            failure.printStackTrace();
        }
        System.out.println(
                result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "the case could not run");
        System.exit(result);
    }
}
