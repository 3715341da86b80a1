/**
 * Test doubles for connections between nodes. They deliver nothing and record what was sent; each is used by one test
 * on one thread. Used in test scope only, never part of the program.
 */
package burlarch.testing;
