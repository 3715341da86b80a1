package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Service;
import burlarch.configuration.Configuration.Split;
import burlarch.configuration.Configuration.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Checks how the parts of a configuration refer to each other. Single fields must be valid already. */
final class CrossReferenceValidator {
    private final Configuration configuration;
    private final List<ConfigurationProblem> problems = new ArrayList<>();
    private final Map<String, Service> services = new HashMap<>();

    private CrossReferenceValidator(Configuration configuration) {
        this.configuration = configuration;
        for (Service service : configuration.services()) {
            services.putIfAbsent(service.name(), service);
        }
    }

    /** Returns every problem; empty if the configuration is valid. */
    static List<ConfigurationProblem> check(Configuration configuration) {
        CrossReferenceValidator rules = new CrossReferenceValidator(configuration);
        rules.checkNames("routes", configuration.routes(), Route::name);
        rules.checkNames("services", configuration.services(), Service::name);
        rules.checkNames("tenants", configuration.tenants(), Tenant::name);
        rules.checkPathPrefixes();
        rules.checkTargets();
        rules.checkKeys();
        return List.copyOf(rules.problems);
    }

    private void add(String field, String reason) {
        problems.add(new ConfigurationProblem(field, reason));
    }

    private <T> void checkNames(String list, List<T> items, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            if (!seen.add(name.apply(items.get(i)))) {
                add(list + "[" + i + "].name", "another item has this name");
            }
        }
    }

    private void checkPathPrefixes() {
        Map<String, Set<String>> prefixes = new HashMap<>();
        List<Route> routes = configuration.routes();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            if (!prefixes.computeIfAbsent(HostName.of(route.hostname()), host -> new HashSet<>())
                    .add(route.pathPrefix())) {
                add("routes[" + i + "].path_prefix", "another route has this host and prefix");
            }
        }
    }

    private void checkTargets() {
        List<Route> routes = configuration.routes();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String field = "routes[" + i + "]";
            if (route.service() != null) {
                checkService(field + ".service", route.service());
            } else if (route.trafficSplit().isEmpty()) {
                add(field + ".service", "neither a service nor a split is given");
            }
            if (!route.trafficSplit().isEmpty()) {
                checkSplit(field + ".traffic_split", route.trafficSplit());
            }
        }
    }

    private void checkSplit(String field, List<Split> parts) {
        double sum = 0;
        for (int i = 0; i < parts.size(); i++) {
            checkService(field + "[" + i + "].service", parts.get(i).service());
            sum += parts.get(i).weight();
        }
        if (!(sum > 0) || Double.isInfinite(sum)) {
            add(field, "weights must sum to a number above 0");
        }
    }

    private void checkService(String field, String name) {
        Service service = services.get(name);
        if (service == null) {
            add(field, "no service has this name");
        } else if (service.kvStore() != null) {
            add(field, "a store takes no requests");
        }
    }

    private void checkKeys() {
        Map<String, Integer> ownerByKey = new HashMap<>();
        List<Tenant> tenants = configuration.tenants();
        for (int i = 0; i < tenants.size(); i++) {
            for (String key : tenants.get(i).apiKeys()) {
                Integer owner = ownerByKey.putIfAbsent(key, i);
                if (owner != null && owner != i) {
                    add("tenants[" + i + "].api_keys", "another tenant has one of these keys");
                }
            }
        }
    }
}
