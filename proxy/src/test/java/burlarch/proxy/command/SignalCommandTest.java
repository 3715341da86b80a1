package burlarch.proxy.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Errors that the signalling subcommands report before they send a signal. */
class SignalCommandTest {
    private static String runCommand(String... arguments) throws Exception {
        return new SignalCommand("hot-list", "USR1", 10, "hot list")
                .run(arguments)
                .orElse("sent");
    }

    @Test
    void invalidArgumentsGiveTheUsage() throws Exception {
        for (String[] arguments : new String[][] {
            {"hot-list"},
            {"hot-list", "--pid"},
            {"hot-list", "--pid", "x"},
            {"hot-list", "--pid", "0"},
            {"hot-list", "--pid", "-1"},
            {"hot-list", "--pid", "1; true"},
            {"hot-list", "--pid", "1", "2"},
            {"hot-list", "--process", "1"}
        }) {
            assertTrue(runCommand(arguments).startsWith("usage: "), runCommand(arguments));
        }
    }

    @Test
    void aMissingProcessIsReported() throws Exception {
        // Above the largest process id of Linux.
        assertEquals("no process 99999999", runCommand("hot-list", "--pid", "99999999"));
    }

    /** The signal would terminate this JVM, which has no handler for it. */
    @Test
    void anotherProgramIsNotSignalled() throws Exception {
        String ownPid = Long.toString(ProcessHandle.current().pid());
        assertEquals("process " + ownPid + " is not a proxy of this kind", runCommand("hot-list", "--pid", ownPid));
    }
}
