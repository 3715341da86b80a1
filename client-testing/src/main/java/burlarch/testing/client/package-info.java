/** Clients that misbehave within the size limits of messages, for tests that start real processes. */
package burlarch.testing.client;
