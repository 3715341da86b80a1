package burlarch.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * A change by the operator to named items of a configuration. Fields other than {@code upsert} and {@code delete}
 * replace the field of the same name completely. Then each item under {@code upsert} replaces the item of the same
 * name, or is appended if there is none. Then the items named under {@code delete} are removed. Immutable.
 */
public final class ConfigurationPatch {
    private static final String UPSERT = "upsert";
    private static final String DELETE = "delete";
    private static final String NAME = "name";

    /** Checks the structure of one list under {@code upsert} or {@code delete}. */
    private interface ListCheck {
        void check(String field, JsonNode list) throws InvalidConfigurationException;
    }

    private final ObjectNode tree;
    private final String digest;

    private ConfigurationPatch(ObjectNode tree) {
        this.tree = tree;
        this.digest = CanonicalDigest.of(tree);
    }

    /** Parses a patch and checks its structure. The patched configuration is validated by {@link #applyTo}. */
    public static ConfigurationPatch parse(byte[] json) throws InvalidConfigurationException {
        ObjectNode tree = ConfigurationJson.readObject(json);
        ConfigurationDocument.checkVersion(tree);
        checkLists(tree, UPSERT, ConfigurationPatch::checkUpserts);
        checkLists(tree, DELETE, ConfigurationPatch::checkDeletes);
        return new ConfigurationPatch(tree);
    }

    private static void checkLists(ObjectNode tree, String operation, ListCheck check)
            throws InvalidConfigurationException {
        JsonNode listsByField = tree.path(operation);
        if (listsByField.isMissingNode() || listsByField.isNull()) {
            return;
        }
        if (!listsByField.isObject()) {
            throw new InvalidConfigurationException(operation, "must be an object of lists");
        }
        for (Map.Entry<String, JsonNode> list : listsByField.properties()) {
            String field = operation + "." + list.getKey();
            if (!list.getValue().isArray()) {
                throw new InvalidConfigurationException(field, "must be a list");
            }
            check.check(field, list.getValue());
        }
    }

    /** Requires that each item to upsert has a name of its own. */
    private static void checkUpserts(String field, JsonNode items) throws InvalidConfigurationException {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < items.size(); i++) {
            JsonNode name = items.get(i).path(NAME);
            requireName(field, i, name);
            if (!names.add(name.textValue())) {
                throw new InvalidConfigurationException(field + "[" + i + "]", "another item has this name");
            }
        }
    }

    /** Requires that each item to delete is a name. Repeated names are allowed. */
    private static void checkDeletes(String field, JsonNode names) throws InvalidConfigurationException {
        for (int i = 0; i < names.size(); i++) {
            requireName(field, i, names.get(i));
        }
    }

    private static void requireName(String field, int index, JsonNode name) throws InvalidConfigurationException {
        if (!name.isTextual()) {
            throw new InvalidConfigurationException(field + "[" + index + "]", "must be or have a name");
        }
    }

    public long version() {
        return tree.get(ConfigurationDocument.VERSION_FIELD).longValue();
    }

    /** Returns the digest of the patch as sent, which does not depend on the order of fields. */
    public String digest() {
        return digest;
    }

    /**
     * Returns whether the patched configuration may replace the one in force: its version must be higher.
     *
     * @param currentVersion the version in force, 0 if there is none
     */
    public boolean supersedes(long currentVersion) {
        return version() > currentVersion;
    }

    /**
     * Returns a new document: the base with this patch applied, completely validated.
     *
     * @throws InvalidConfigurationException if a field with items to upsert or delete is not a list, or the result is
     *     invalid
     */
    public ConfigurationDocument applyTo(ConfigurationDocument base) throws InvalidConfigurationException {
        ObjectNode patched = ConfigurationJson.readObject(base.json());
        for (Map.Entry<String, JsonNode> field : tree.properties()) {
            if (!field.getKey().equals(UPSERT) && !field.getKey().equals(DELETE)) {
                patched.set(field.getKey(), field.getValue().deepCopy());
            }
        }
        for (Map.Entry<String, JsonNode> list : tree.path(UPSERT).properties()) {
            upsert(getOrCreateList(patched, list.getKey()), list.getValue());
        }
        for (Map.Entry<String, JsonNode> list : tree.path(DELETE).properties()) {
            if (patched.hasNonNull(list.getKey())) {
                delete(getOrCreateList(patched, list.getKey()), list.getValue());
            }
        }
        return ConfigurationDocument.of(patched);
    }

    private static ArrayNode getOrCreateList(ObjectNode patched, String name) throws InvalidConfigurationException {
        JsonNode list = patched.path(name);
        if (list.isMissingNode() || list.isNull()) {
            return patched.putArray(name);
        }
        if (list instanceof ArrayNode array) {
            return array;
        }
        throw new InvalidConfigurationException(name, "has no named items");
    }

    private static void upsert(ArrayNode list, JsonNode items) {
        Map<String, Integer> indexesByName = new HashMap<>();
        for (int i = 0; i < list.size(); i++) {
            indexesByName.put(list.get(i).path(NAME).asText(), i);
        }
        for (JsonNode item : items) {
            Integer index = indexesByName.get(item.path(NAME).textValue());
            if (index == null) {
                list.add(item);
            } else {
                list.set(index, item);
            }
        }
    }

    private static void delete(ArrayNode list, JsonNode names) {
        Set<String> removedNames = new HashSet<>();
        for (JsonNode name : names) {
            removedNames.add(name.textValue());
        }
        for (Iterator<JsonNode> items = list.iterator(); items.hasNext(); ) {
            if (removedNames.contains(items.next().path(NAME).asText())) {
                items.remove();
            }
        }
    }
}
