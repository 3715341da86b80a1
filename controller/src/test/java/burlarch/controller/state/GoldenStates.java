package burlarch.controller.state;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The states that are encoded in the golden files, by file name. */
final class GoldenStates {
    private static final byte[] DOCUMENT =
            "{\"config_version\":9,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8);

    private GoldenStates() {}

    static Map<String, SystemState> byFileName() {
        AppliedChanges appliedChanges = AppliedChanges.forgottenUpTo(2)
                .with(AppliedChange.put(2, 3, "0a1b"))
                .with(AppliedChange.patch(3, 9, "käse"));
        Map<String, SystemState> states = new LinkedHashMap<>();
        states.put("empty", SystemState.EMPTY);
        states.put(
                "configured",
                new SystemState(9, DOCUMENT, appliedChanges, Map.of(), Map.of(), 1, DepartedInstances.NONE));
        states.put(
                "weights",
                new SystemState(
                        0,
                        new byte[0],
                        AppliedChanges.NONE,
                        Map.of("m", 2L, "n", 1L),
                        Map.of(),
                        1,
                        DepartedInstances.NONE));
        states.put(
                "owners",
                new SystemState(
                        0,
                        new byte[0],
                        AppliedChanges.NONE,
                        Map.of(),
                        Map.of("weights", new Lease("controller-1", 4), "k", new Lease("", 1L << 40)),
                        5,
                        DepartedInstances.NONE));
        states.put(
                "all",
                new SystemState(
                        9,
                        DOCUMENT,
                        appliedChanges,
                        Map.of("m", 2L, "n", 1L),
                        Map.of("weights", new Lease("controller-1", 4)),
                        5,
                        DepartedInstances.NONE));
        states.put(
                "departures",
                SystemState.EMPTY.withDepartures(DepartedInstances.NONE
                        .with(List.of("i-1", "i-2", "i-3"))
                        .without("i-2")));
        return states;
    }
}
