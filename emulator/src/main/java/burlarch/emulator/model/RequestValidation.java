package burlarch.emulator.model;

import java.util.Map;
import java.util.function.UnaryOperator;

/** Validation of requests by an emulated instance, before it begins to execute them. */
public final class RequestValidation {
    /** The request may be executed. */
    public static final int ACCEPTED = 0;

    private static final int MISSING_ID_STATUS = 400;
    private static final int MISDIRECTED_STATUS = 421;

    private RequestValidation() {}

    /**
     * Returns the HTTP status with which to reject a request, or {@link #ACCEPTED}.
     *
     * @param header returns the value of a header by its name, null if it is absent
     * @param instance id of this instance
     * @param versions versions of the weights by model, empty for a plain service
     */
    public static int check(UnaryOperator<String> header, String instance, Map<String, Long> versions) {
        String target = header.apply("X-Target-Instance");
        if (target != null && !target.equals(instance)) {
            return MISDIRECTED_STATUS;
        }
        String id = header.apply("X-Request-Id");
        if (id == null || id.isBlank()) {
            return MISSING_ID_STATUS;
        }
        String expectedVersion = header.apply("Expect-Version");
        String model = header.apply("X-Model");
        if (expectedVersion != null
                && versions.containsKey(model)
                && !expectedVersion.equals(Long.toString(versions.get(model)))) {
            return MISDIRECTED_STATUS;
        }
        return ACCEPTED;
    }
}
