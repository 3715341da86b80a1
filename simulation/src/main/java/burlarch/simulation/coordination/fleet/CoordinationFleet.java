package burlarch.simulation.coordination.fleet;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Connectivity;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ControlAction;
import burlarch.simulation.coordination.node.ControllerNode;
import burlarch.simulation.coordination.node.EventTriggers;
import burlarch.simulation.coordination.node.FleetEnvironment;
import burlarch.simulation.coordination.node.InstanceNode;
import burlarch.simulation.coordination.node.OperatorNode;
import burlarch.simulation.coordination.node.RouterNode;
import burlarch.simulation.coordination.node.SharedOperatorState;
import burlarch.simulation.coordination.node.SharedOperatorState.WeightNaming;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import burlarch.simulation.disk.SimulatedDisk;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * A simulated fleet: controllers {@code core-1} and so on, routers, operators and instances, with the checkers that
 * observe them. Spare controllers come last among the {@code core-*}; they have addresses of their own, and no
 * settings name them before they are in use.
 *
 * <p>A controller is spare, in use, or retired. {@link #start} takes a spare into use, {@link #retire} takes one out of
 * use for good. The fleet owns the disks, which outlive the processes, and the seed addresses that settings name.
 */
public final class CoordinationFleet {
    /** Delay after the retirement of a controller before the settings name another one in its place. */
    private static final long SEED_CHANGE_DELAY_NANOS = 3 * Simulation.SECOND;
    /** One of this many instances calls the preferred controller first. */
    private static final int INSTANCES_PER_PREFERRING = 3;

    private final FleetPlan plan;
    private final ComponentOverrides overrides;
    private final Simulation simulation;
    private final Connectivity connectivity;
    private final FleetCheckers checkers;
    private final FleetEnvironment environment;
    private final EventTriggers triggers = new EventTriggers();
    private final ControllerSelectors selectors = new ControllerSelectors(this);
    private final SharedOperatorState operatorState;
    private final Random random;
    private final Map<String, SimulatedDisk> disks = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Set<String> startedOnce = new HashSet<>();
    private final Set<String> inUse = new LinkedHashSet<>();
    private final Set<String> retired = new HashSet<>();
    private List<String> seedAddresses;
    /** Address of the controller that some instances call first; empty for none. */
    private Optional<String> preferredController = Optional.empty();

    /** Creates the machines of the plan without starting them. */
    public CoordinationFleet(FleetPlan plan, ComponentOverrides overrides) {
        this.plan = plan;
        this.overrides = overrides;
        seedAddresses = plan.seedAddresses();
        random = new Random(plan.seed());
        operatorState = new SharedOperatorState(plan.seed() % 2 == 0 ? WeightNaming.ALWAYS : WeightNaming.PERIODICALLY);
        simulation =
                new Simulation(random.nextLong(), NetworkSettings.defaults().withLoss(0));
        connectivity = new Connectivity(simulation);
        checkers = new FleetCheckers(simulation, connectivity);
        environment = new FleetEnvironment(simulation, plan, checkers, overrides, triggers);
        for (int i = 1; i <= plan.controllers() + plan.spares(); i++) {
            addController(i);
        }
        for (int i = 1; i <= plan.routers(); i++) {
            addRouter(i);
        }
        for (int i = 1; i <= plan.operators(); i++) {
            addOperator(i);
        }
        for (int i = 1; i <= plan.engines(); i++) {
            addEngine(i);
        }
        for (int i = 1; i <= plan.servers(); i++) {
            addServer(i);
        }
    }

    private void addController(int number) {
        String name = FleetNames.controller(number);
        addresses.put(name, FleetNames.controllerAddress(number));
        disks.put(name, new SimulatedDisk(new Random(random.nextLong()), overrides.diskSyncMode()));
        simulation.addMachine(name, FleetNames.controllerAddress(number), context -> createController(context, number));
        if (number <= plan.controllers()) {
            inUse.add(name);
            connectivity.addController(name);
        }
    }

    private void addRouter(int number) {
        simulation.addMachine(
                FleetNames.router(number),
                FleetNames.routerAddress(number),
                context -> new RouterNode(environment, context, seedAddresses));
    }

    private void addOperator(int number) {
        simulation.addMachine(
                FleetNames.operator(number),
                FleetNames.operatorAddress(number),
                context -> new OperatorNode(environment, context, operatorState, this::addressesInUse));
    }

    private void addEngine(int number) {
        boolean prefersController = number % INSTANCES_PER_PREFERRING == 0;
        addInstance(
                FleetNames.engine(number),
                FleetNames.engineAddress(number),
                InstanceNode.Kind.ENGINE,
                prefersController);
    }

    private void addServer(int number) {
        boolean prefersController = number % INSTANCES_PER_PREFERRING == 1;
        addInstance(
                FleetNames.server(number),
                FleetNames.serverAddress(number),
                InstanceNode.Kind.PLAIN,
                prefersController);
    }

    private void addInstance(String name, String address, InstanceNode.Kind kind, boolean prefersController) {
        simulation.addMachine(
                name,
                address,
                context -> new InstanceNode(
                        environment,
                        context,
                        kind,
                        this::addressesInUse,
                        () -> prefersController || isEnding(name) ? preferredController : Optional.empty()));
    }

    private boolean isEnding(String instance) {
        return simulation
                .node(instance, InstanceNode.class)
                .map(InstanceNode::isEnding)
                .orElse(false);
    }

    private SimulatedNode createController(NodeContext context, int number) {
        String name = context.name();
        boolean first = startedOnce.add(name) && number <= plan.controllers();
        return new ControllerNode(
                environment,
                context,
                disks.get(name),
                seedAddresses,
                first ? ControllerNode.StartKind.FIRST_OF_FLEET : ControllerNode.StartKind.LATER,
                observerOf(name));
    }

    private ControllerNode.Observer observerOf(String controller) {
        return new ControllerNode.Observer() {
            @Override
            public void onCall(ControlAction action) {
                if (action.changesConfiguration()) {
                    triggers.fire(EventTriggers.Event.CALL);
                }
            }

            @Override
            public void onSuccess(ControlAction action) {
                if (action instanceof ControlAction.Read) {
                    selectors.onReadAnswered(controller);
                } else if (action.changesConfiguration()) {
                    selectors.onActed(controller);
                    triggers.fire(EventTriggers.Event.ANSWERED);
                }
            }

            @Override
            public void onOrder() {
                selectors.onActed(controller);
            }
        };
    }

    /** Returns the addresses of the controllers in use, running or not. */
    private List<String> addressesInUse() {
        return inUse.stream().map(addresses::get).toList();
    }

    /** Returns the names of the controllers in use, running or not. */
    public List<String> controllersInUse() {
        return List.copyOf(inUse);
    }

    /** Returns the address of a controller. */
    String address(String controller) {
        return addresses.get(controller);
    }

    /** Returns the simulation that the fleet runs in. */
    public Simulation simulation() {
        return simulation;
    }

    /** Returns the tracker of which machines are connected. */
    public Connectivity connectivity() {
        return connectivity;
    }

    /** Returns the checkers that observe the fleet. */
    public FleetCheckers checkers() {
        return checkers;
    }

    EventTriggers triggers() {
        return triggers;
    }

    ControllerSelectors selectors() {
        return selectors;
    }

    /** Returns the state that all operators share. */
    public SharedOperatorState operatorState() {
        return operatorState;
    }

    /** Returns the disk of a controller. Throws IllegalArgumentException for any other machine. */
    SimulatedDisk disk(String name) {
        SimulatedDisk disk = disks.get(name);
        if (disk == null) {
            throw new IllegalArgumentException(name + " has no disk");
        }
        return disk;
    }

    /** Returns the controller addresses that the settings of a process started now would name. */
    List<String> seedAddresses() {
        return seedAddresses;
    }

    /**
     * Sets the controllers that the settings name from now on: these first, then others in use, up to
     * {@link FleetPlan#MAX_SEED_ADDRESSES}.
     */
    void setSeeds(List<String> first) {
        Set<String> names = new LinkedHashSet<>(first);
        names.addAll(inUse);
        names.retainAll(inUse);
        seedAddresses = names.stream()
                .limit(FleetPlan.MAX_SEED_ADDRESSES)
                .map(addresses::get)
                .toList();
    }

    /** Makes some instances, and all that are draining or gone, call this controller first. */
    void setPreferredController(String controller) {
        preferredController = Optional.ofNullable(addresses.get(controller));
    }

    /** Ends the preference of instances for a controller. */
    void clearPreferredController() {
        preferredController = Optional.empty();
    }

    /** Starts all stopped machines except spare and retired controllers. */
    public void startAll() {
        for (String name : simulation.machineNames()) {
            if (!FleetNames.isController(name) || inUse.contains(name)) {
                start(name);
            }
        }
    }

    /** Starts a machine unless it runs or has been retired; takes a spare controller into use. */
    public void start(String name) {
        if (retired.contains(name) || simulation.isRunning(name)) {
            return;
        }
        connectivity.onFault(List.of(name));
        if (FleetNames.isController(name) && inUse.add(name)) {
            connectivity.addController(name);
            selectors.onEmptyDisk(name);
        }
        simulation.start(name);
    }

    /** Kills a machine's process. */
    public void kill(String name) {
        connectivity.onFault(List.of(name));
        simulation.kill(name);
    }

    /** Kills a machine's process by a power loss: a controller's disk loses all data that was not synced. */
    public void losePower(String name) {
        simulation.node(name, ControllerNode.class).ifPresent(ControllerNode::losePower);
        kill(name);
    }

    /** Kills a controller and erases its disk. */
    void wipe(String name) {
        losePower(name);
        disk(name).wipe();
        selectors.onEmptyDisk(name);
    }

    /** Takes a controller and its disk out of use permanently; the settings name another one after a delay. */
    public void retire(String name) {
        wipe(name);
        retired.add(name);
        inUse.remove(name);
        connectivity.removeController(name);
        simulation.scheduleAfter(SEED_CHANGE_DELAY_NANOS, () -> {
            if (seedAddresses.contains(addresses.get(name))) {
                setSeeds(seedAddresses.stream().map(FleetNames::controllerAt).toList());
            }
        });
    }

    /** Returns the names of all machines except spare and retired controllers. */
    public List<String> machinesInUse() {
        List<String> names = new ArrayList<>(simulation.machineNames());
        names.removeIf(name -> FleetNames.isController(name) && !inUse.contains(name));
        return names;
    }
}
