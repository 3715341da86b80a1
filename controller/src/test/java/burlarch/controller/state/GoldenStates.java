package burlarch.controller.state;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The states that the golden files hold, by the name of the file. */
final class GoldenStates {
    private static final byte[] DOCUMENT =
            "{\"config_version\":9,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8);

    private GoldenStates() {}

    static Map<String, SystemState> examples() {
        AppliedChanges taken = AppliedChanges.forgottenUpTo(2)
                .with(AppliedChange.put(2, 3, "0a1b"))
                .with(AppliedChange.patch(3, 9, "käse"));
        Map<String, SystemState> all = new LinkedHashMap<>();
        all.put("empty", SystemState.EMPTY);
        all.put("configured", new SystemState(9, DOCUMENT, taken, Map.of(), Map.of(), 1));
        all.put("weights", new SystemState(0, new byte[0], AppliedChanges.NONE, Map.of("m", 2L, "n", 1L), Map.of(), 1));
        all.put(
                "owners",
                new SystemState(
                        0,
                        new byte[0],
                        AppliedChanges.NONE,
                        Map.of(),
                        Map.of("weights", new Lease("controller-1", 4), "k", new Lease("", 1L << 40)),
                        5));
        all.put(
                "all",
                new SystemState(
                        9,
                        DOCUMENT,
                        taken,
                        Map.of("m", 2L, "n", 1L),
                        Map.of("weights", new Lease("controller-1", 4)),
                        5));
        return all;
    }
}
