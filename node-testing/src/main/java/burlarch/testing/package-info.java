/**
 * Test doubles for the connections between nodes and for the event loop. Connections deliver nothing and record what
 * was sent. Each object is used by one test on one thread. Used in test scope only, never part of a program.
 */
package burlarch.testing;
