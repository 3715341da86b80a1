/**
 * The real controllers and routers with operators and engines around them, the rules that they keep, and the
 * search.
 */
package burlarch.simulation.coordination;
