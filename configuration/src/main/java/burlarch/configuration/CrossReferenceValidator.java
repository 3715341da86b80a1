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

/**
 * Checks the rules that concern several fields of a configuration: unique names, path prefixes and API keys, references
 * to services, and weights. The single fields must have passed {@link ConstraintValidator}.
 */
final class CrossReferenceValidator {
    private final Configuration configuration;
    private final List<ConfigurationProblem> problems = new ArrayList<>();
    private final Map<String, Service> servicesByName = new HashMap<>();

    private CrossReferenceValidator(Configuration configuration) {
        this.configuration = configuration;
        for (Service service : configuration.services()) {
            servicesByName.putIfAbsent(service.name(), service);
        }
    }

    /** Returns every problem found; the list is empty if the configuration is valid. */
    static List<ConfigurationProblem> check(Configuration configuration) {
        CrossReferenceValidator validator = new CrossReferenceValidator(configuration);
        validator.checkUniqueNames("routes", configuration.routes(), Route::name);
        validator.checkUniqueNames("services", configuration.services(), Service::name);
        validator.checkUniqueNames("tenants", configuration.tenants(), Tenant::name);
        validator.checkUniquePathPrefixes();
        validator.checkRouteTargets();
        validator.checkUniqueApiKeys();
        return List.copyOf(validator.problems);
    }

    private void addProblem(String field, String reason) {
        problems.add(new ConfigurationProblem(field, reason));
    }

    private <T> void checkUniqueNames(String listName, List<T> items, Function<T, String> nameOf) {
        Set<String> seenNames = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            if (!seenNames.add(nameOf.apply(items.get(i)))) {
                addProblem(listName + "[" + i + "].name", "another item has this name");
            }
        }
    }

    private void checkUniquePathPrefixes() {
        Map<String, Set<String>> prefixesByHost = new HashMap<>();
        List<Route> routes = configuration.routes();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            if (!prefixesByHost
                    .computeIfAbsent(HostName.of(route.hostname()), host -> new HashSet<>())
                    .add(route.pathPrefix())) {
                addProblem("routes[" + i + "].path_prefix", "another route has this host and prefix");
            }
        }
    }

    private void checkRouteTargets() {
        List<Route> routes = configuration.routes();
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String field = "routes[" + i + "]";
            if (route.service() != null) {
                checkService(field + ".service", route.service());
            } else if (route.trafficSplit().isEmpty()) {
                addProblem(field + ".service", "neither a service nor a split is given");
            }
            if (!route.trafficSplit().isEmpty()) {
                checkSplit(field + ".traffic_split", route.trafficSplit());
            }
        }
    }

    private void checkSplit(String field, List<Split> splits) {
        double totalWeight = 0;
        for (int i = 0; i < splits.size(); i++) {
            checkService(field + "[" + i + "].service", splits.get(i).service());
            totalWeight += splits.get(i).weight();
        }
        if (!(totalWeight > 0) || Double.isInfinite(totalWeight)) {
            addProblem(field, "weights must sum to a number above 0");
        }
    }

    private void checkService(String field, String serviceName) {
        Service service = servicesByName.get(serviceName);
        if (service == null) {
            addProblem(field, "no service has this name");
        } else if (service.kvStore() != null) {
            addProblem(field, "a store takes no requests");
        }
    }

    private void checkUniqueApiKeys() {
        Map<String, Integer> tenantIndexByKey = new HashMap<>();
        List<Tenant> tenants = configuration.tenants();
        for (int i = 0; i < tenants.size(); i++) {
            for (String key : tenants.get(i).apiKeys()) {
                Integer otherTenantIndex = tenantIndexByKey.putIfAbsent(key, i);
                if (otherTenantIndex != null && otherTenantIndex != i) {
                    addProblem("tenants[" + i + "].api_keys", "another tenant has one of these keys");
                }
            }
        }
    }
}
