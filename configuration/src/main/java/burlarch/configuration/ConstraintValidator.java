package burlarch.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Path;
import jakarta.validation.TraversableResolver;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.lang.annotation.ElementType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.hibernate.validator.HibernateValidator;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.hibernate.validator.spi.nodenameprovider.JavaBeanProperty;
import org.hibernate.validator.spi.nodenameprovider.Property;
import org.hibernate.validator.spi.nodenameprovider.PropertyNodeNameProvider;

/**
 * Checks the single fields of a configuration against their Bean Validation constraints. The first check creates the
 * validator, which is slow.
 */
final class ConstraintValidator {
    private static final int MAX_ITEMS_WITH_ALL_PROBLEMS = 10_000;

    private ConstraintValidator() {}

    /**
     * Returns every violated constraint, sorted by the path of the field and then by the reason. Of a configuration
     * with very many items, each of which may violate several, it returns one.
     */
    static List<ConfigurationProblem> check(ConfigurationConstraints configuration) {
        Validator validator = itemCount(configuration) > MAX_ITEMS_WITH_ALL_PROBLEMS
                ? ValidatorHolder.FAIL_FAST_VALIDATOR
                : ValidatorHolder.VALIDATOR;
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ConstraintViolation<ConfigurationConstraints> violation : validator.validate(configuration)) {
            problems.add(new ConfigurationProblem(documentPath(violation.getPropertyPath()), violation.getMessage()));
        }
        problems.sort(Comparator.comparing(ConfigurationProblem::field).thenComparing(ConfigurationProblem::reason));
        return problems;
    }

    private static int itemCount(ConfigurationConstraints configuration) {
        return Stream.of(configuration.routes(), configuration.services(), configuration.tenants())
                .filter(Objects::nonNull)
                .mapToInt(List::size)
                .sum();
    }

    /** Returns the path without the nodes that stand for the element of a list, as in {@code [0].<list element>}. */
    private static String documentPath(Path path) {
        return path.toString().replaceAll("\\.?<[^>]*>", "");
    }

    /** Creates the validator when this class is first used. */
    private static final class ValidatorHolder {
        static final Validator VALIDATOR = create(false);
        static final Validator FAIL_FAST_VALIDATOR = create(true);

        private static Validator create(boolean failFast) {
            return Validation.byProvider(HibernateValidator.class)
                    .configure()
                    .failFast(failFast)
                    .ignoreXmlConfiguration()
                    .messageInterpolator(new ParameterMessageInterpolator())
                    .propertyNodeNameProvider(new JsonPropertyNames())
                    .traversableResolver(new AllFieldsResolver())
                    .buildValidatorFactory()
                    .getValidator();
        }
    }

    /** Names a field in a path by its {@link JsonProperty}, which is its name in the document. */
    private static final class JsonPropertyNames implements PropertyNodeNameProvider {
        @Override
        public String getName(Property property) {
            if (property instanceof JavaBeanProperty beanProperty) {
                try {
                    JsonProperty name = beanProperty
                            .getDeclaringClass()
                            .getDeclaredField(beanProperty.getName())
                            .getAnnotation(JsonProperty.class);
                    return name == null ? beanProperty.getName() : name.value();
                } catch (NoSuchFieldException e) {
                    return beanProperty.getName();
                }
            }
            return property.getName();
        }
    }

    /**
     * Has every field validated. The default resolver asks for each field whether it is loaded, which is not needed,
     * because records load no field lazily.
     */
    private static final class AllFieldsResolver implements TraversableResolver {
        @Override
        public boolean isReachable(Object object, Path.Node property, Class<?> root, Path path, ElementType type) {
            return true;
        }

        @Override
        public boolean isCascadable(Object object, Path.Node property, Class<?> root, Path path, ElementType type) {
            return true;
        }
    }
}
