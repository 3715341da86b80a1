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
 * The operator's change to named items of a configuration. An item under {@code upsert} reindexes the item of its
 * name, or is appended; then the items named under {@code delete} are removed; any other field reindexes the present
 * one completely. Immutable.
 */
public final class ConfigurationPatch {
    private static final String UPSERT = "upsert";
    private static final String DELETE = "delete";
    private static final String NAME = "name";

    /** Checks the form of one list of a patch. */
    private interface ListCheck {
        void check(String field, JsonNode list) throws InvalidConfigurationException;
    }

    private final ObjectNode tree;
    private final String digest;

    private ConfigurationPatch(ObjectNode tree) {
        this.tree = tree;
        this.digest = CanonicalDigest.of(tree);
    }

    /** Parses a patch and validates its form; {@link #applyTo} validates the result of applying it. */
    public static ConfigurationPatch parse(byte[] json) throws InvalidConfigurationException {
        ObjectNode tree = ConfigurationJson.readObject(json);
        ConfigurationDocument.checkVersion(tree);
        checkLists(tree, UPSERT, ConfigurationPatch::checkUpserts);
        checkLists(tree, DELETE, ConfigurationPatch::checkDeletes);
        return new ConfigurationPatch(tree);
    }

    private static void checkLists(ObjectNode tree, String change, ListCheck check)
            throws InvalidConfigurationException {
        JsonNode lists = tree.path(change);
        if (lists.isMissingNode() || lists.isNull()) {
            return;
        }
        if (!lists.isObject()) {
            throw new InvalidConfigurationException(change, "must be an object of lists");
        }
        for (Map.Entry<String, JsonNode> list : lists.properties()) {
            String field = change + "." + list.getKey();
            if (!list.getValue().isArray()) {
                throw new InvalidConfigurationException(field, "must be a list");
            }
            check.check(field, list.getValue());
        }
    }

    /** Items to upsert are objects with a name each, no two alike. */
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

    /** Items to delete are names; a repeated one does no harm. */
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
        return tree.get(ConfigurationDocument.VERSION).longValue();
    }

    /** Returns the digest of the patch as sent, independent of the order of fields. */
    public String digest() {
        return digest;
    }

    /** Returns whether the version is above the current one; otherwise the change is invalid. */
    public boolean supersedes(long currentVersion) {
        return version() > currentVersion;
    }

    /** Returns the base with this change applied, validated completely. Neither of the two is changed. */
    public ConfigurationDocument applyTo(ConfigurationDocument base) throws InvalidConfigurationException {
        ObjectNode changed = ConfigurationJson.readObject(base.json());
        for (Map.Entry<String, JsonNode> field : tree.properties()) {
            if (!field.getKey().equals(UPSERT) && !field.getKey().equals(DELETE)) {
                changed.set(field.getKey(), field.getValue().deepCopy());
            }
        }
        for (Map.Entry<String, JsonNode> list : tree.path(UPSERT).properties()) {
            upsert(listOf(changed, list.getKey()), list.getValue());
        }
        for (Map.Entry<String, JsonNode> list : tree.path(DELETE).properties()) {
            if (changed.hasNonNull(list.getKey())) {
                delete(listOf(changed, list.getKey()), list.getValue());
            }
        }
        return ConfigurationDocument.of(changed);
    }

    private static ArrayNode listOf(ObjectNode changed, String name) throws InvalidConfigurationException {
        JsonNode list = changed.path(name);
        if (list.isMissingNode() || list.isNull()) {
            return changed.putArray(name);
        }
        if (list instanceof ArrayNode array) {
            return array;
        }
        throw new InvalidConfigurationException(name, "has no named items");
    }

    private static void upsert(ArrayNode list, JsonNode items) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; i < list.size(); i++) {
            indexes.put(list.get(i).path(NAME).asText(), i);
        }
        for (JsonNode item : items) {
            Integer index = indexes.get(item.path(NAME).textValue());
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
