package burlarch.configuration;

/** Why a configuration is invalid: the field's path in the document (empty for the whole) and the reason. */
public record ConfigurationProblem(String field, String reason) {
    @Override
    public String toString() {
        return field.isEmpty() ? reason : field + ": " + reason;
    }
}
