/**
 * What every process of the fleet embeds: settings, addresses, membership, signals and shutdown.
 *
 * <p>Thread: {@link burlarch.node.MembershipService} runs on the process's event loop and owns the membership
 * protocol's state, in memory only. {@link burlarch.node.SettingsFileWatcher} has a thread of its own. Settings are
 * immutable.
 */
package burlarch.node;
