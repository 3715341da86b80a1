/**
 * The training run that produces the archive of classes which the roles start from, with its minimal client and engine.
 * Used by the build alone, never in service.
 */
package burlarch.fleet.training;
