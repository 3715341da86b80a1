/**
 * The operator's configuration: its document, its validation, changes to it and look-ups in it.
 *
 * <ul>
 *   <li>Document: {@link burlarch.configuration.ConfigurationDocument} is a valid document as the operator sent it,
 *       {@link burlarch.configuration.Configuration} its content as records.
 *   <li>Validation: {@code ConstraintValidator} checks single fields against {@code ConfigurationConstraints},
 *       {@code CrossReferenceValidator} how the parts refer to each other. Each
 *       {@link burlarch.configuration.ConfigurationProblem} is reported by
 *       {@link burlarch.configuration.InvalidConfigurationException}.
 *   <li>Changes: {@link burlarch.configuration.ConfigurationPatch} is the operator's, by names of items;
 *       {@link burlarch.configuration.DocumentDelta} is the one sent to routers, by bytes.
 *   <li>Look-ups: {@link burlarch.configuration.RouteTable} and {@link burlarch.configuration.TrafficSplitter}, on the
 *       path of each request: they allocate no Optional and return null for an absent result.
 * </ul>
 *
 * <p>Everything public is immutable or has static methods only, so that any thread may use it. The package holds no
 * state but the validator, which starts at its first use.
 */
package burlarch.configuration;
