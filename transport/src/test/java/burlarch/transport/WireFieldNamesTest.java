package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that every name on the wire is set by an annotation, so that renaming code never changes the wire format. */
class WireFieldNamesTest {
    static Stream<Class<?>> mixedIn() {
        return WireFieldNames.mixIns().keySet().stream();
    }

    /** Jackson silently ignores a mix-in method that matches no component. */
    @ParameterizedTest
    @MethodSource("mixedIn")
    void mixInNamesEveryComponentOrConstantAndNothingElse(Class<?> type) {
        Class<?> mixIn = WireFieldNames.mixIns().get(type);
        List<String> expected = type.isEnum() ? constants(type) : components(type);
        if (type.isEnum()) {
            assertThat(constants(mixIn)).isEqualTo(expected);
            assertThat(mixIn.getFields())
                    .filteredOn(Field::isEnumConstant)
                    .allMatch(field -> field.isAnnotationPresent(JsonProperty.class));
        } else {
            assertThat(mixIn.getDeclaredMethods())
                    .extracting(Method::getName)
                    .containsExactlyInAnyOrderElementsOf(expected);
            assertThat(mixIn.getDeclaredMethods()).allMatch(method -> method.isAnnotationPresent(JsonProperty.class));
        }
    }

    @Test
    void allTypesOnTheWireHaveAnnotationsOrAMixIn() {
        Set<Class<?>> onTheWire = new HashSet<>();
        for (Class<?> message : NodeMessage.class.getPermittedSubclasses()) {
            collectTypes(message, onTheWire);
        }
        onTheWire.remove(NodeMessage.RegisterProtocol.class);
        for (Class<?> type : onTheWire) {
            assertThat(WireFieldNames.mixIns().containsKey(type) || isAnnotated(type))
                    .as(type.getName())
                    .isTrue();
        }
        assertThat(onTheWire).containsAll(WireFieldNames.mixIns().keySet());
    }

    private static void collectTypes(Class<?> type, Set<Class<?>> collected) {
        if (!type.getName().startsWith("burlarch.") || type.isSealed() || !collected.add(type)) {
            if (type.isSealed()) {
                Arrays.stream(type.getPermittedSubclasses()).forEach(subclass -> collectTypes(subclass, collected));
            }
            return;
        }
        if (type.isRecord()) {
            for (RecordComponent component : type.getRecordComponents()) {
                collectTypes(component.getType(), collected);
                if (component.getGenericType() instanceof java.lang.reflect.ParameterizedType list) {
                    collectTypes((Class<?>) list.getActualTypeArguments()[0], collected);
                }
            }
        }
    }

    private static boolean isAnnotated(Class<?> type) {
        return type.isRecord()
                && Arrays.stream(type.getDeclaredFields())
                        .filter(field -> components(type).contains(field.getName()))
                        .allMatch(field -> field.isAnnotationPresent(JsonProperty.class));
    }

    private static List<String> components(Class<?> type) {
        return Arrays.stream(type.getRecordComponents())
                .map(RecordComponent::getName)
                .toList();
    }

    private static List<String> constants(Class<?> type) {
        return Arrays.stream(type.getFields())
                .filter(Field::isEnumConstant)
                .map(Field::getName)
                .toList();
    }
}
