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
 * Computes the SHA-256 digest of a JSON tree in a canonical form: no white space, sorted keys, and one spelling for
 * equal numbers. Documents that differ only in these respects have the same digest. The form must not change, because
 * digests are stored and compared between processes.
 */
final class CanonicalDigest {
    private final StringBuilder text = new StringBuilder();

    private CanonicalDigest() {}

    /** Returns the digest as 64 lower-case hexadecimal digits. */
    static String of(JsonNode tree) {
        CanonicalDigest canonicalForm = new CanonicalDigest();
        canonicalForm.append(tree);
        // UTF-16: JSON allows unpaired surrogates, and UTF-8 would encode all of them as the same byte.
        ByteBuffer bytes = ByteBuffer.allocate(Character.BYTES * canonicalForm.text.length());
        bytes.asCharBuffer().append(canonicalForm.text);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(bytes);
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform must provide SHA-256", e);
        }
    }

    private void append(JsonNode node) {
        if (node.isObject()) {
            appendObject(node);
        } else if (node.isArray()) {
            char separator = '[';
            for (JsonNode item : node) {
                text.append(separator);
                append(item);
                separator = ',';
            }
            text.append(node.isEmpty() ? "[]" : "]");
        } else if (node.isTextual()) {
            appendString(node.textValue());
        } else if (node.isNumber()) {
            text.append(node.decimalValue().stripTrailingZeros());
        } else {
            text.append(node.asText());
        }
    }

    /** Appends the fields sorted by name, each followed by a comma. */
    private void appendObject(JsonNode object) {
        List<String> sortedNames = new ArrayList<>(object.size());
        for (Iterator<String> remainingNames = object.fieldNames(); remainingNames.hasNext(); ) {
            sortedNames.add(remainingNames.next());
        }
        Collections.sort(sortedNames);
        text.append('{');
        for (String name : sortedNames) {
            appendString(name);
            text.append(':');
            append(object.get(name));
            text.append(',');
        }
        text.append('}');
    }

    private void appendString(String value) {
        text.append('"');
        JsonStringEncoder.getInstance().quoteAsString(value, text);
        text.append('"');
    }
}
