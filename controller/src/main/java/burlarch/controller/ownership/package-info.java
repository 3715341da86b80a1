/**
 * Singleton roles: work that only one controller of the fleet may do at a time.
 *
 * <p>Job: a {@link burlarch.controller.ownership.LeaseManager} keeps the lease of one role with one live controller and
 * notifies the {@link burlarch.controller.ownership.SingletonRole} when it may act. Thread: the controller's event
 * loop. Owner of the state: the register records the holder and the fencing token of each role; the LeaseManager owns
 * its {@link burlarch.coordination.ownership.OwnershipLease}, which is lost at the end of the process.
 */
package burlarch.controller.ownership;
