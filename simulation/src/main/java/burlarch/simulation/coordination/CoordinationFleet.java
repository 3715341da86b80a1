package burlarch.simulation.coordination;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
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
 * Controllers {@code core-1} and on, routers, operators and engines, with the rules that they are judged by.
 * Spare controllers come last among {@code core-*}; they have new addresses, and nobody's settings name them
 * before they are in use.
 */
final class CoordinationFleet {
    /** How long after a controller has gone for good the settings name another in its place. */
    private static final long SEED_LAG_NANOS = 3 * Simulation.SECOND;
    /** One instance in so many reports first to the controller that lures. */
    private static final int ONE_LURED_IN = 3;

    private final FleetPlan plan;
    private final ComponentOverrides doubles;
    private final Simulation simulation;
    private final Connectivity connectivity;
    private final FleetCheckers checkers;
    private final EventTriggers triggers = new EventTriggers();
    private final ControllerSelectors targets = new ControllerSelectors(this);
    private final OperatorNode.SharedOperatorState operatorState;
    private final Random random;
    private final Map<String, SimulatedDisk> disks = new LinkedHashMap<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Set<String> startedOnce = new HashSet<>();
    private final Set<String> inUse = new LinkedHashSet<>();
    private final Set<String> retired = new HashSet<>();
    private List<String> seeds;
    private String lure;

    CoordinationFleet(FleetPlan plan, ComponentOverrides doubles) {
        this.plan = plan;
        this.doubles = doubles;
        seeds = plan.seedAddresses();
        random = new Random(plan.seed());
        operatorState = new OperatorNode.SharedOperatorState(plan.seed() % 2 == 0);
        simulation =
                new Simulation(random.nextLong(), NetworkSettings.defaults().withLoss(0));
        connectivity = new Connectivity(simulation);
        checkers = new FleetCheckers(simulation, connectivity);
        for (int i = 1; i <= plan.controllers() + plan.spares(); i++) {
            addController(i);
        }
        for (int i = 1; i <= plan.routers(); i++) {
            simulation.addMachine(
                    "router-" + i,
                    "10.0.2." + i + ":7340",
                    context -> new RouterNode(context, seeds, checkers, doubles));
        }
        for (int i = 1; i <= plan.operators(); i++) {
            simulation.addMachine(
                    "operator-" + i,
                    "10.0.3." + i + ":7340",
                    context -> new OperatorNode(
                            context, simulation, checkers, operatorState, this::controlAddresses, triggers));
        }
        for (int i = 1; i <= plan.engines(); i++) {
            addEngine(i);
        }
        for (int i = 1; i <= plan.servers(); i++) {
            addServer(i);
        }
    }

    private void addController(int number) {
        String name = FleetPlan.controller(number);
        addresses.put(name, FleetPlan.controllerAddress(number));
        disks.put(name, new SimulatedDisk(new Random(random.nextLong()), doubles.honestDisks()));
        simulation.addMachine(name, FleetPlan.controllerAddress(number), context -> controller(context, number));
        if (number <= plan.controllers()) {
            inUse.add(name);
            connectivity.addController(name);
        }
    }

    private void addEngine(int number) {
        String name = "engine-" + number;
        boolean lured = number % ONE_LURED_IN == 0;
        simulation.addMachine(
                name,
                "10.0.4." + number + ":7340",
                context -> InstanceNode.engine(
                        context, checkers, this::controlAddresses, () -> lure(name, lured), triggers));
    }

    private void addServer(int number) {
        String name = "server-" + number;
        boolean lured = number % ONE_LURED_IN == 1;
        simulation.addMachine(
                name,
                "10.0.5." + number + ":7340",
                context -> InstanceNode.plain(
                        context, checkers, this::controlAddresses, () -> lure(name, lured), triggers));
    }

    /** The controller that an instance reports to first: some of them, and all as they leave. */
    private Optional<String> lure(String instance, boolean lured) {
        boolean ending = simulation.node(instance) instanceof InstanceNode node && node.isEnding();
        return lured || ending ? Optional.ofNullable(lure) : Optional.empty();
    }

    private SimulatedNode controller(NodeContext context, int number) {
        boolean bootstrap = startedOnce.add(context.name()) && number <= plan.controllers();
        return new ControllerNode(
                simulation,
                context,
                disks.get(context.name()),
                seeds,
                bootstrap,
                plan,
                checkers,
                doubles,
                observer(context.name()));
    }

    private ControllerNode.Observer observer(String controller) {
        return new ControllerNode.Observer() {
            @Override
            public void onCall(ControlAction action) {
                if (isChange(action)) {
                    triggers.fire(EventTriggers.Event.CALL);
                }
            }

            @Override
            public void onSuccess(ControlAction action) {
                if (action instanceof ControlAction.Read) {
                    targets.onRead(controller);
                } else if (isChange(action)) {
                    targets.onActed(controller);
                    triggers.fire(EventTriggers.Event.ANSWERED);
                }
            }

            @Override
            public void onOrder() {
                targets.onActed(controller);
            }
        };
    }

    private static boolean isChange(ControlAction action) {
        return action instanceof ControlAction.Put || action instanceof ControlAction.Patch;
    }

    /** Addresses of the controllers that are in use, running or not. */
    private List<String> controlAddresses() {
        return inUse.stream().map(addresses::get).toList();
    }

    /** Names of the controllers that are in use, running or not. */
    List<String> controllersInUse() {
        return List.copyOf(inUse);
    }

    /** The address of a controller. */
    String address(String controller) {
        return addresses.get(controller);
    }

    Simulation simulation() {
        return simulation;
    }

    Connectivity connectivity() {
        return connectivity;
    }

    FleetCheckers checkers() {
        return checkers;
    }

    EventTriggers triggers() {
        return triggers;
    }

    ControllerSelectors targets() {
        return targets;
    }

    OperatorNode.SharedOperatorState operatorState() {
        return operatorState;
    }

    SimulatedDisk disk(String name) {
        SimulatedDisk disk = disks.get(name);
        if (disk == null) {
            throw new IllegalArgumentException(name + " has no disk");
        }
        return disk;
    }

    /** Addresses that the settings of a process that starts now name. */
    List<String> seeds() {
        return seeds;
    }

    /** The settings name these controllers first from now on, then others that are in use. */
    void setSeeds(List<String> first) {
        Set<String> names = new LinkedHashSet<>(first);
        names.addAll(inUse);
        names.retainAll(inUse);
        seeds = names.stream()
                .limit(FleetPlan.MAX_SEED_ADDRESSES)
                .map(addresses::get)
                .toList();
    }

    /** Some instances report to this controller first; null for none. */
    void lureTo(String controller) {
        lure = controller == null ? null : addresses.get(controller);
    }

    /** Starts what is in use and doesn't run: all but the spare controllers and those that have retired. */
    void startAll() {
        for (String name : simulation.machineNames()) {
            if (!FleetPlan.isController(name) || inUse.contains(name)) {
                start(name);
            }
        }
    }

    /** Starts a machine; a spare controller is in use from now on. Those that have retired stay away. */
    void start(String name) {
        if (retired.contains(name) || simulation.isRunning(name)) {
            return;
        }
        connectivity.onFault(List.of(name));
        if (FleetPlan.isController(name) && inUse.add(name)) {
            connectivity.addController(name);
            targets.onEmptyDisk(name);
        }
        simulation.start(name);
    }

    void kill(String name) {
        connectivity.onFault(List.of(name));
        simulation.kill(name);
    }

    void losePower(String name) {
        if (simulation.node(name) instanceof ControllerNode controller) {
            controller.losePower();
        }
        kill(name);
    }

    void wipe(String name) {
        losePower(name);
        disk(name).wipe();
        targets.onEmptyDisk(name);
    }

    /** The machine and its disk are gone for good. The settings name another one some time later. */
    void retire(String name) {
        wipe(name);
        retired.add(name);
        inUse.remove(name);
        connectivity.removeController(name);
        simulation.schedule(simulation.now() + SEED_LAG_NANOS, () -> {
            if (seeds.contains(addresses.get(name))) {
                setSeeds(seeds.stream().map(FleetPlan::controllerAt).toList());
            }
        });
    }

    /** Names of those that are in use. */
    List<String> names() {
        List<String> names = new ArrayList<>(simulation.machineNames());
        names.removeIf(name -> FleetPlan.isController(name) && !inUse.contains(name));
        return names;
    }
}
