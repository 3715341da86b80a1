/** Stand-ins on loopback: they speak as engines, prompt stores and plain services do. */
package burlarch.emulator.server;
