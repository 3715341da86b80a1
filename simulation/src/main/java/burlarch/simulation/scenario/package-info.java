/**
 * Scenarios as text: steps that act on a simulation at given times, and expectations of its processes.
 *
 * <p>A {@link burlarch.simulation.scenario.ScenarioRunner} plays one scenario on one simulation, on the caller's
 * thread; it owns the list of failed expectations. The kind of process under simulation adds its own steps by a
 * {@link burlarch.simulation.scenario.ScenarioStepHandler} and defines expectations by an {@link
 * burlarch.simulation.scenario.ExpectationEvaluator}.
 */
package burlarch.simulation.scenario;
