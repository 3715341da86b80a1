/**
 * Scripted scenarios: steps that act on a simulation at given times, and expectations about its processes.
 *
 * <p>A {@link burlarch.simulation.scenario.ScenarioRunner} runs one scenario on one simulation, on the caller's
 * thread; it owns the list of failed expectations. The kind of process under simulation adds its own steps with a
 * {@link burlarch.simulation.scenario.ScenarioStepHandler} and defines expectations with an {@link
 * burlarch.simulation.scenario.ExpectationEvaluator}.
 */
package burlarch.simulation.scenario;
