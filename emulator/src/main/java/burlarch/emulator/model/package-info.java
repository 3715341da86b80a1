/** How stand-ins behave: batches, memory, weights and orders. No I/O, no clock, no thread. */
package burlarch.emulator.model;
