/** The command line of the fleet: finds the command, runs it, and maps its outcome to an exit code. */
package burlarch.fleet;
