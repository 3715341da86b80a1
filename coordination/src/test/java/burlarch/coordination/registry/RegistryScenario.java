package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * An interpreter of a registry scenario in virtual time, one step per line. Times are milliseconds since the start of
 * the scenario. Instances are written ID SERVICE ADDRESS STATE SEQUENCE [MODEL:VERSION].
 * <pre>
 * bounds EXPIRY GRACE GONE LOADING INSTANCES GONE_ONES   creates a new registry at this time
 * at TIME                    advances the time, with a check each 200 ms
 * frozen TIME                advances the time without checks in between
 * announce INSTANCE = OUTCOME
 * merge INSTANCE = true|false
 * leave ID
 * loading ID on|off
 * grace                      restarts the grace period
 * is ID STATE                STATE is none for an unknown instance
 * revision NUMBER
 * since REVISION = part|whole [ID STATE]...
 * self-reported = [ID STATE]...    what is sent to another registry when it is connected again
 * </pre>
 */
final class RegistryScenario {
    private static final long TICK_MILLIS = 200;

    private InstanceRegistry registry;
    private long nowMillis;
    private int checks;

    /** Returns the number of checks so far. */
    int checks() {
        return checks;
    }

    /** Runs one line; {@code where} names it in failures. */
    void runLine(String where, String line) {
        String step = line.contains("#") ? line.substring(0, line.indexOf('#')) : line;
        if (step.isBlank()) {
            return;
        }
        String[] stepAndExpectation = step.trim().split("\\s*=\\s*", 2);
        List<String> arguments = List.of(stepAndExpectation[0].trim().split("\\s+"));
        runLine(
                where,
                arguments.get(0),
                arguments.subList(1, arguments.size()),
                stepAndExpectation.length > 1 ? stepAndExpectation[1].trim() : "");
    }

    private void runLine(String where, String command, List<String> arguments, String expected) {
        switch (command) {
            case "bounds" -> registry = new InstanceRegistry(parseSettings(arguments), now());
            case "at" -> advanceUntil(Long.parseLong(arguments.get(0)));
            case "frozen" -> {
                nowMillis = Long.parseLong(arguments.get(0));
                registry.expire(now());
            }
            case "announce" -> check(
                    where, registry.announce(instance(arguments), now()).name(), expected);
            case "merge" -> check(where, String.valueOf(registry.merge(List.of(instance(arguments)), now())), expected);
            case "leave" -> assertThat(registry.leave(arguments.get(0), now()).sequence())
                    .as(where)
                    .isEqualTo(InstanceRegistry.LEFT_SEQUENCE);
            case "loading" -> setLoading(arguments.get(0), arguments.get(1));
            case "grace" -> registry.restartGrace(now());
            case "is" -> check(where, state(arguments.get(0)), arguments.get(1));
            case "revision" -> check(where, String.valueOf(registry.revision()), arguments.get(0));
            case "self-reported" -> check(where, describe(registry.selfReported()), expected);
            case "since" -> check(where, changes(Long.parseLong(arguments.get(0))), expected);
            default -> throw new IllegalArgumentException(where + ": " + command);
        }
    }

    private void setLoading(String id, String onOrOff) {
        if (onOrOff.equals("on")) {
            registry.beginLoading(id, now());
        } else {
            registry.endLoading(id);
        }
    }

    private void check(String where, String actual, String expected) {
        assertThat(actual).as(where).isEqualTo(expected);
        checks++;
    }

    private void advanceUntil(long untilMillis) {
        while (nowMillis < untilMillis) {
            nowMillis = Math.min(untilMillis, nowMillis + TICK_MILLIS);
            registry.expire(now());
        }
    }

    private String state(String id) {
        return registry.find(id).map(found -> found.state().name()).orElse("none");
    }

    private String changes(long since) {
        InstanceChanges changes = registry.changesSince(since);
        assertThat(changes.revision()).isEqualTo(registry.revision());
        return ((changes.complete() ? "whole " : "part ") + describe(changes.instances())).trim();
    }

    private static String describe(List<Instance> instances) {
        return instances.stream()
                .map(instance -> instance.id() + " " + instance.state())
                .collect(Collectors.joining(" "));
    }

    private long now() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private static RegistrySettings parseSettings(List<String> arguments) {
        long[] nanos = arguments.stream()
                .limit(4)
                .mapToLong(Long::parseLong)
                .map(TimeUnit.MILLISECONDS::toNanos)
                .toArray();
        return new RegistrySettings(
                nanos[0],
                nanos[1],
                nanos[2],
                nanos[3],
                Integer.parseInt(arguments.get(4)),
                Integer.parseInt(arguments.get(5)));
    }

    private static Instance instance(List<String> arguments) {
        List<Instance.ServedModel> models = new ArrayList<>();
        for (String model : arguments.subList(5, arguments.size())) {
            String[] parts = model.split(":");
            models.add(new Instance.ServedModel(parts[0], Long.parseLong(parts[1])));
        }
        long sequence =
                arguments.get(4).equals("left") ? InstanceRegistry.LEFT_SEQUENCE : Long.parseLong(arguments.get(4));
        return new Instance(
                arguments.get(0),
                arguments.get(1),
                arguments.get(2),
                "zone",
                "v1",
                8,
                InstanceState.valueOf(arguments.get(3)),
                0,
                models,
                sequence);
    }
}
