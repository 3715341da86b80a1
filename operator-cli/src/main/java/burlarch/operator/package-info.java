/**
 * The operator's command line: {@code config get|put|patch|validate}. Runs on the main thread and has no state beyond
 * one
 * command.
 */
package burlarch.operator;
