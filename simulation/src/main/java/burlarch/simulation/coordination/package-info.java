/**
 * Randomized fault search for the control plane: simulated fleets with the real controllers run under randomly drawn
 * faults, and checkers verify the rules that the fleets have to keep.
 *
 * <p>{@link burlarch.simulation.coordination.CoordinationSearch} draws and shrinks scenarios, {@link
 * burlarch.simulation.coordination.CoordinationRun} runs one. A run owns its simulation and all state in it, and uses
 * the caller's thread only. The packages below, each of which uses those before it: {@code plan} (sizes and times),
 * {@code check} (rules), {@code node} (processes), {@code fleet} (all processes, and steps that act on them); and
 * {@code fault} (draws faults, uses {@code plan} only).
 */
package burlarch.simulation.coordination;
