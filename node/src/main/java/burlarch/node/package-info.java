/**
 * Common parts of every process of the fleet: settings, addresses, membership, signals and shutdown.
 *
 * <p>Threads: {@link burlarch.node.MembershipService} runs on the event loop of the process and owns the state of the
 * membership protocol, which is in memory only. {@link burlarch.node.SettingsFileWatcher} has a thread of its own.
 * Settings are immutable.
 */
package burlarch.node;
