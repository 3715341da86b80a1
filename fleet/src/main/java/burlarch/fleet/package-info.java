/** The command line of the fleet: selects a command, runs it, and maps its outcome to an exit code. */
package burlarch.fleet;
