package burlarch.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration or patch cannot be read completely, or breaks a rule. Holds at least one problem.
 *
 * <p><b>What the caller may do:</b> report the problems to the operator, who corrects the document; nothing has
 * changed.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    /** How many problems the message names. */
    private static final int MAX_PROBLEMS_IN_MESSAGE = 10;

    private final transient List<ConfigurationProblem> problems;

    InvalidConfigurationException(List<ConfigurationProblem> problems) {
        super(message(problems));
        this.problems = List.copyOf(problems);
    }

    InvalidConfigurationException(String field, String reason) {
        this(List.of(new ConfigurationProblem(field, reason)));
    }

    private static String message(List<ConfigurationProblem> problems) {
        String first = problems.stream()
                .limit(MAX_PROBLEMS_IN_MESSAGE)
                .map(ConfigurationProblem::toString)
                .collect(Collectors.joining("; "));
        int omitted = problems.size() - MAX_PROBLEMS_IN_MESSAGE;
        return omitted > 0 ? first + "; and " + omitted + " more" : first;
    }

    /**
     * Returns every problem of single fields or, if there is none of those, every problem of references between them.
     */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
