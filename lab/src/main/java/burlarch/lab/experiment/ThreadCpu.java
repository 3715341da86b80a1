package burlarch.lab.experiment;

import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the CPU time of a Java process by thread group. It reads /proc from outside, so the measured process
 * bears no overhead.
 */
final class ThreadCpu {
    /** Thread group, recognised by the thread name, which the kernel truncates to 15 bytes. */
    public enum Group {
        LOOP("burlarch-loop"),
        COMPILER("C1 CompilerThre", "C2 CompilerThre", "Sweeper thread"),
        VM("VM Thread", "VM Periodic Tas", "GC Thread#"),
        LOG("burlarch-log"),
        MAIN("java"),
        OTHER();

        private final String[] names;

        Group(String... names) {
            this.names = names;
        }

        static Group of(String threadName) {
            for (Group group : values()) {
                for (String name : group.names) {
                    if (threadName.startsWith(name.length() > 15 ? name.substring(0, 15) : name)) {
                        return group;
                    }
                }
            }
            return OTHER;
        }
    }

    private final Map<String, Long> previous = new HashMap<>();

    /**
     * @return CPU time by group since the previous call, in nanoseconds; empty on the first call and once the
     *     process has ended
     */
    Map<Group, Long> sinceLastCall(long pid) {
        Map<Group, Long> spent = new EnumMap<>(Group.class);
        Map<String, Long> current = new HashMap<>();
        boolean running = forEachThread(pid, (thread, nanos) -> {
            String id = thread.getFileName().toString();
            current.put(id, nanos);
            long before = previous.getOrDefault(id, previous.isEmpty() ? nanos : 0L);
            String threadName = Files.readString(thread.resolve("comm")).strip();
            spent.merge(Group.of(threadName), Math.max(0, nanos - before), Long::sum);
        });
        if (!running) {
            current.clear();
        }
        previous.clear();
        previous.putAll(current);
        return current.isEmpty() ? Map.of() : spent;
    }

    /** Receives the /proc folder of a thread and its total CPU time. */
    interface Visitor {
        void thread(Path folder, long nanos) throws IOException;
    }

    /**
     * Visits all threads of a process.
     *
     * @return false if the process has ended
     */
    static boolean forEachThread(long pid, Visitor visitor) {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path threadFolder : threads) {
                try {
                    String text = Files.readString(threadFolder.resolve("schedstat"));
                    visitor.thread(threadFolder, Long.parseLong(text.substring(0, text.indexOf(' '))));
                } catch (IOException | RuntimeException e) {
                    // The thread has just ended: its remaining CPU time is not counted.
                }
            }
            return true;
        } catch (IOException | DirectoryIteratorException e) {
            return false;
        }
    }
}
