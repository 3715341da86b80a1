/** The fleet's quick path: a fleet on loopback, traffic, troubles on purpose, and a verdict. */
package burlarch.emulator.demo;
