package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.rollout.RolloutAction.ClearLoading;
import burlarch.coordination.rollout.RolloutAction.MarkLoading;
import burlarch.coordination.rollout.RolloutAction.OwnershipLost;
import burlarch.coordination.rollout.RolloutAction.RequestReport;
import burlarch.coordination.rollout.RolloutAction.SendOrder;
import burlarch.coordination.rollout.RolloutAction.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * An interpreter of a rollout scenario in virtual time. A line is a time in milliseconds and an event; a line that
 * begins with &gt; is an expected action of the rollout, with its time. Timers run automatically.
 */
final class RolloutScenario {
    /** A monotonic clock may begin anywhere: this one overflows to negative nanoseconds shortly after the start. */
    private static final long START_NANOS = Long.MAX_VALUE - TimeUnit.MILLISECONDS.toNanos(1200);

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final WeightsRollout rollout = new WeightsRollout(RolloutSettings.of(8000));
    private final List<String> expected = new ArrayList<>();
    private final List<String> actual = new ArrayList<>();
    private long nowMillis;
    private Long timerMillis;

    void run(List<String> lines) {
        for (String line : lines) {
            if (line.startsWith(">")) {
                expected.add(line.substring(1).trim());
            } else if (!line.isBlank() && !line.startsWith("#")) {
                String[] fields = line.trim().split("\\s+");
                runTimersUntil(Long.parseLong(fields[0]));
                recordActions(runEvent(fields));
            }
        }
    }

    List<String> expected() {
        return expected;
    }

    List<String> actual() {
        return actual;
    }

    private List<RolloutAction> runEvent(String[] fields) {
        long timeNanos = nanos(nowMillis);
        return switch (fields[1]) {
            case "targets" -> rollout.onTargets(Map.of(fields[2], Long.valueOf(fields[3])), timeNanos);
            case "engines" -> rollout.onInstances(instances(fields), timeNanos);
            case "own" -> rollout.onOwnership(Long.parseLong(fields[2]), timeNanos);
            case "disown" -> rollout.onOwnershipLost(timeNanos);
            case "result" -> rollout.onOrderResult(fields[2], OrderResult.valueOf(fields[3]), timeNanos);
            case "report" -> rollout.onReport(fields[2], report(fields), timeNanos);
            case "running" -> {
                rollout.onRunningRequests(fields[2], Integer.parseInt(fields[3]));
                yield List.of();
            }
            case "end" -> List.of();
            default -> throw new IllegalArgumentException(fields[1]);
        };
    }

    /** Parses instances written NAME@ZONE=VERSION, with !STATE for one that is not READY. */
    private static List<Instance> instances(String[] fields) {
        List<Instance> instances = new ArrayList<>();
        for (int i = 2; i < fields.length; i++) {
            String[] parts = fields[i].split("[@=!]");
            InstanceState state = parts.length > 3 ? InstanceState.valueOf(parts[3]) : InstanceState.READY;
            instances.add(new Instance(
                    parts[0],
                    "service",
                    "10.0.0.1:1",
                    parts[1],
                    "v1",
                    8,
                    state,
                    0,
                    List.of(new ServedModel("m", Long.parseLong(parts[2]))),
                    1));
        }
        return instances;
    }

    /** Parses a report written NAME VERSION busy|rest SEQUENCE, or NAME none. */
    private static Optional<EngineReport> report(String[] fields) {
        if (fields[3].equals("none")) {
            return Optional.empty();
        }
        return Optional.of(new EngineReport(
                List.of(new ServedModel("m", Long.parseLong(fields[3]))),
                fields[4].equals("busy"),
                Long.parseLong(fields[5]),
                0,
                0,
                0,
                0));
    }

    private void runTimersUntil(long millis) {
        while (timerMillis != null && timerMillis <= millis) {
            nowMillis = Math.max(nowMillis, timerMillis);
            timerMillis = null;
            recordActions(rollout.onTimer(nanos(nowMillis)));
        }
        nowMillis = millis;
    }

    private void recordActions(List<RolloutAction> actions) {
        for (RolloutAction action : actions) {
            if (action instanceof Timer next) {
                timerMillis = -Math.floorDiv(START_NANOS - next.atNanos(), NANOS_PER_MILLI);
            } else {
                actual.add(nowMillis + " " + describe(action));
            }
        }
    }

    private static String describe(RolloutAction action) {
        if (action instanceof SendOrder order) {
            String condition = " if " + order.expectedSequence();
            return "order " + order.instanceId() + " " + order.version() + " token " + order.fencingToken() + condition;
        }
        if (action instanceof MarkLoading mark) {
            return "mark " + mark.instanceId();
        }
        if (action instanceof ClearLoading clear) {
            return "unmark " + clear.instanceId();
        }
        if (action instanceof RequestReport request) {
            return "ask " + request.instanceId();
        }
        return "lost " + ((OwnershipLost) action).fencingToken();
    }

    private static long nanos(long millis) {
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
