/**
 * The state that the register holds, {@link burlarch.controller.state.SystemState}, and the changes of it.
 *
 * <p>Job: pure functions from one state to the next, the bytes of a state, and what the end of a proposal means for the
 * caller of a change. Thread: any; everything here is immutable or a pure function. Owner of the state: the register;
 * {@link burlarch.controller.register.CommittedState} holds the newest committed copy of a controller.
 */
package burlarch.controller.state;
