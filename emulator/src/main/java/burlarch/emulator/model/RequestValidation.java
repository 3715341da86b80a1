package burlarch.emulator.model;

import java.util.Map;
import java.util.function.UnaryOperator;

/** Which requests an instance rejects before it begins to execute them. */
public final class RequestValidation {
    /** The request may be executed. */
    public static final int ACCEPTED = 0;

    private static final int NO_ID = 400;
    private static final int MISDIRECTED = 421;

    private RequestValidation() {}

    /**
     * The status with which to reject a request, or {@link #ACCEPTED}.
     *
     * @param header value of a header by its name, null where it is absent
     * @param instance id of this one
     * @param versions of weights by model, empty for a plain service
     */
    public static int check(UnaryOperator<String> header, String instance, Map<String, Long> versions) {
        String target = header.apply("X-Target-Instance");
        if (target != null && !target.equals(instance)) {
            return MISDIRECTED;
        }
        String id = header.apply("X-Request-Id");
        if (id == null || id.isBlank()) {
            return NO_ID;
        }
        String expected = header.apply("Expect-Version");
        String model = header.apply("X-Model");
        if (expected != null && versions.containsKey(model) && !expected.equals(Long.toString(versions.get(model)))) {
            return MISDIRECTED;
        }
        return ACCEPTED;
    }
}
