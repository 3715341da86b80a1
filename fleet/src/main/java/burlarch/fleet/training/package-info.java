/**
 * The training run that produces the class-data archive with which the router and the controller start, with its
 * minimal client and engine. Used only by the build.
 */
package burlarch.fleet.training;
