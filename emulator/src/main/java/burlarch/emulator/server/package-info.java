/**
 * Emulated engines, stores and plain instances as HTTP servers on loopback, and the client with which they announce
 * themselves to controllers. Each server owns its state and has one thread per exchange; a batching engine has one more
 * for its steps. The emulator uses no other module of burlarch, because it tests them from outside.
 */
package burlarch.emulator.server;
