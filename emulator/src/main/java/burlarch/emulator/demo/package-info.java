/**
 * Commands {@code fleet-demo} and {@code fleet-bench}: they start routers and controllers as processes, run emulated
 * instances, an operator and clients in this process, and report values with their requirements. The commands run on
 * the main thread; clients and instances have threads of their own.
 */
package burlarch.emulator.demo;
