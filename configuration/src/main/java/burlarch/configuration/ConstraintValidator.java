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
import org.hibernate.validator.HibernateValidator;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;
import org.hibernate.validator.spi.nodenameprovider.JavaBeanProperty;
import org.hibernate.validator.spi.nodenameprovider.Property;
import org.hibernate.validator.spi.nodenameprovider.PropertyNodeNameProvider;

/** Checks single fields by their constraints. The validator, which is slow to start, starts with the first check. */
final class ConstraintValidator {
    private ConstraintValidator() {}

    /** Returns every violated constraint, with the field's path in the document, sorted by path. */
    static List<ConfigurationProblem> check(ConfigurationConstraints declared) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        for (ConstraintViolation<ConfigurationConstraints> each : Started.VALIDATOR.validate(declared)) {
            problems.add(new ConfigurationProblem(field(each.getPropertyPath()), each.getMessage()));
        }
        problems.sort(Comparator.comparing(ConfigurationProblem::field).thenComparing(ConfigurationProblem::reason));
        return problems;
    }

    /** Returns the path without the steps that name the element of a list, as {@code [0].<list element>}. */
    private static String field(Path path) {
        return path.toString().replaceAll("\\.?<[^>]*>", "");
    }

    /** Holds the validator: loaded by its first use. */
    private static final class Started {
        static final Validator VALIDATOR = Validation.byProvider(HibernateValidator.class)
                .configure()
                .ignoreXmlConfiguration()
                .messageInterpolator(new ParameterMessageInterpolator())
                .propertyNodeNameProvider(new DocumentNames())
                .traversableResolver(new EveryField())
                .buildValidatorFactory()
                .getValidator();
    }

    /** Gives a field its name in the document. */
    private static final class DocumentNames implements PropertyNodeNameProvider {
        @Override
        public String getName(Property property) {
            if (property instanceof JavaBeanProperty bean) {
                try {
                    JsonProperty name = bean.getDeclaringClass()
                            .getDeclaredField(bean.getName())
                            .getAnnotation(JsonProperty.class);
                    return name == null ? bean.getName() : name.value();
                } catch (NoSuchFieldException e) {
                    return bean.getName();
                }
            }
            return property.getName();
        }
    }

    /**
     * Has every field validated: records load nothing lazily, so the default's question for each field is not needed.
     */
    private static final class EveryField implements TraversableResolver {
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
