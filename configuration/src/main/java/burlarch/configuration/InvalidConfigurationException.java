package burlarch.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration or patch cannot be read completely or breaks a rule. Contains at least one problem.
 *
 * <p>Nothing has changed. The caller reports the problems to the operator, who corrects the document.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MAX_PROBLEMS_IN_MESSAGE = 10;

    private final transient List<ConfigurationProblem> problems;

    InvalidConfigurationException(List<ConfigurationProblem> problems) {
        super(formatMessage(problems));
        this.problems = List.copyOf(problems);
    }

    InvalidConfigurationException(String field, String reason) {
        this(List.of(new ConfigurationProblem(field, reason)));
    }

    private static String formatMessage(List<ConfigurationProblem> problems) {
        String listed = problems.stream()
                .limit(MAX_PROBLEMS_IN_MESSAGE)
                .map(ConfigurationProblem::toString)
                .collect(Collectors.joining("; "));
        int omitted = problems.size() - MAX_PROBLEMS_IN_MESSAGE;
        return omitted > 0 ? listed + "; and " + omitted + " more" : listed;
    }

    /**
     * Returns every problem found. The references between fields are checked only if the single fields have no problem.
     */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
