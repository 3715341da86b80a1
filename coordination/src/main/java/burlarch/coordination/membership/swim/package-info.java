/**
 * The SWIM protocol (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard (local health) and push-pull
 * anti-entropy.
 *
 * <p>{@link burlarch.coordination.membership.swim.Swim} is one member. It connects the following parts, which share
 * one {@code MembershipView}:
 *
 * <ul>
 *   <li>failure detection: {@code FailureDetector}, {@code Probe}, {@code ProbeTargetSelector},
 *       {@code IndirectProbes}, {@code LocalHealth};
 *   <li>dissemination: {@code GossipQueue}, {@code OutgoingDatagrams};
 *   <li>anti-entropy and reconnection: {@code AntiEntropy}, {@code Reconnector}, {@code ContactPoints};
 *   <li>messages and the own lifecycle: {@code MessageHandler}, {@code MembershipLifecycle};
 *   <li>local view: {@code MembershipView}, {@code MemberTable}, {@code MemberRecord}.
 * </ul>
 *
 * <p>Thread: none of its own, no I/O and no clock. All calls on one {@code Swim} come from one thread, the node's
 * event loop; times are nanoseconds of a monotonic clock that the caller passes in, and datagrams leave as values.
 *
 * <p>Owner of the state: each {@code Swim} owns its view. {@code MemberTable.apply} is the only place where the state
 * of another member changes, {@code MembershipView.refute} and {@code MembershipView.leave} the only ones where the
 * own update changes. Nothing is kept on disk; a restarted process learns the members anew.
 */
package burlarch.coordination.membership.swim;
