/**
 * Emulated engines, stores and plain instances as HTTP servers on loopback, and the client by which they announce
 * themselves to controllers. Each server owns its state and has a thread for each exchange; a batching engine has
 * one more for its steps. Nothing of burlarch's other modules is used: the emulator judges them from outside.
 */
package burlarch.emulator.server;
