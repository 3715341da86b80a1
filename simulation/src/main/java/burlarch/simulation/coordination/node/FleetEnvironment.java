package burlarch.simulation.coordination.node;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.plan.FleetPlan;

/**
 * What all nodes of one simulated fleet share.
 *
 * @param checkers told of what the nodes do
 * @param overrides substitutes for components of the nodes
 * @param triggers told of the events that steps of a scenario wait for
 */
public record FleetEnvironment(
        Simulation simulation,
        FleetPlan plan,
        FleetCheckers checkers,
        ComponentOverrides overrides,
        EventTriggers triggers) {}
