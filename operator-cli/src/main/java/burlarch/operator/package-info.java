/**
 * The operator's command line {@code config get|put|patch|validate}. A command runs on the main thread and keeps no
 * state after it ends.
 */
package burlarch.operator;
