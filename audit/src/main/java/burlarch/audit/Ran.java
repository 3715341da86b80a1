package burlarch.audit;

/**
 * A proxy's process, on the clock of {@link Asked}: what it held when it was killed is nobody's fault.
 *
 * @param endedNanos 0 while it runs
 */
public record Ran(String proxy, long startedNanos, long endedNanos) {
}
