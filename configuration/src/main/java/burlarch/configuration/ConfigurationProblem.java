package burlarch.configuration;

/**
 * One reason why a configuration is invalid.
 *
 * @param field the path of the field in the document, such as {@code routes[0].name}; empty for the complete document
 * @param reason what is wrong with the field
 */
public record ConfigurationProblem(String field, String reason) {
    /** Returns the text that operators read, such as {@code routes[0].name: is missing}. */
    @Override
    public String toString() {
        return field.isEmpty() ? reason : field + ": " + reason;
    }
}
