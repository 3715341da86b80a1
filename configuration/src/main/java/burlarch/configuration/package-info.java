/**
 * The configuration of the fleet: document, validation, changes and lookups.
 *
 * <ul>
 *   <li>Document: {@link burlarch.configuration.ConfigurationDocument} is a valid document as the operator sent it,
 *       {@link burlarch.configuration.Configuration} its content as records.
 *   <li>Validation: {@code ConstraintValidator} checks single fields against {@code ConfigurationConstraints},
 *       {@code CrossReferenceValidator} checks uniqueness and the references between fields.
 *       {@link burlarch.configuration.InvalidConfigurationException} reports each problem as a
 *       {@link burlarch.configuration.ConfigurationProblem}.
 *   <li>Changes: {@link burlarch.configuration.ConfigurationPatch} is a change by the operator, which refers to items
 *       by name; {@link burlarch.configuration.DocumentDelta} is the binary delta that is sent to routers.
 *   <li>Lookups: {@link burlarch.configuration.RouteTable} and {@link burlarch.configuration.TrafficSplitter} are used
 *       for every request; they allocate no Optional and return null for an absent result.
 * </ul>
 *
 * <p>Every public type is immutable or has only static methods, so that any thread may use it. The only shared state of
 * the package is the validator, which the first validation creates.
 */
package burlarch.configuration;
