package burlarch.configuration;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;

/**
 * SHA-256 of a JSON tree in canonical form: without white space, keys sorted, equal numbers written alike. Documents
 * that differ in these respects alone have the same digest. The form is fixed: digests are stored and compared across
 * programs.
 */
final class CanonicalDigest {
    private final StringBuilder text = new StringBuilder();

    private CanonicalDigest() {}

    /** Returns the digest in hexadecimal digits. */
    static String of(JsonNode tree) {
        CanonicalDigest form = new CanonicalDigest();
        form.append(tree);
        // UTF-16, since UTF-8 would encode every unpaired surrogate, which JSON allows, as the same byte.
        ByteBuffer bytes = ByteBuffer.allocate(Character.BYTES * form.text.length());
        bytes.asCharBuffer().append(form.text);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(bytes);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }

    private void append(JsonNode node) {
        if (node.isObject()) {
            appendObject(node);
        } else if (node.isArray()) {
            char before = '[';
            for (JsonNode item : node) {
                text.append(before);
                append(item);
                before = ',';
            }
            text.append(node.isEmpty() ? "[]" : "]");
        } else if (node.isTextual()) {
            appendText(node.textValue());
        } else if (node.isNumber()) {
            text.append(node.decimalValue().stripTrailingZeros());
        } else {
            text.append(node.asText());
        }
    }

    private void appendObject(JsonNode object) {
        List<String> names = new ArrayList<>(object.size());
        for (Iterator<String> all = object.fieldNames(); all.hasNext(); ) {
            names.add(all.next());
        }
        Collections.sort(names);
        text.append('{');
        for (String name : names) {
            appendText(name);
            text.append(':');
            append(object.get(name));
            text.append(',');
        }
        text.append('}');
    }

    private void appendText(String value) {
        text.append('"');
        JsonStringEncoder.getInstance().quoteAsString(value, text);
        text.append('"');
    }
}
