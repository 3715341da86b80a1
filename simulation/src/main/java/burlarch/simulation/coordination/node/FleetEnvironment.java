package burlarch.simulation.coordination.node;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.plan.FleetPlan;

/**
 * Objects that all nodes of one simulated fleet share.
 *
 * @param checkers notified of what the nodes do
 * @param overrides substitutes for components of the nodes
 * @param triggers notified of the events that scenario steps wait for
 */
public record FleetEnvironment(
        Simulation simulation,
        FleetPlan plan,
        FleetCheckers checkers,
        ComponentOverrides overrides,
        EventTriggers triggers) {}
