/**
 * The failures that the control API reports to its callers: a kind, with its HTTP status and whether the same call may
 * be retried, and the problems found in the content. Immutable values; any thread.
 */
package burlarch.controller.error;
